import type { RecordedResponse } from "@daisylock/core/control/recorded-response.js";
import type { UnknownOutcomeReason } from "@daisylock/core/outcomes/unknown-outcome-reason.js";

import type { AttemptEnd } from "./attempt-end.js";

/** Result of an attempt at a target. */
export interface AttemptResult {
    readonly end: AttemptEnd;
    /** Cause of a failure, when there is one. */
    readonly reason?: UnknownOutcomeReason | undefined;
    /** Whether the target may still be running the request. */
    readonly isStillRunning: boolean;
    /** Whether the target caused the failure, which counts against its health. */
    readonly isTargetFault: boolean;
    /** Status code of the target's response, when there was one. */
    readonly status?: number | undefined;
    /** Response to record for an unrepeatable request. */
    readonly answer?: RecordedResponse | undefined;
}
