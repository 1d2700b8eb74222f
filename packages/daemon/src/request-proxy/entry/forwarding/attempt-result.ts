import type { RecordedResponse } from "@daisylock/core/control/recorded-response.js";
import type { UnknownOutcomeReason } from "@daisylock/core/outcomes/unknown-outcome-reason.js";

import type { AttemptEnd } from "./attempt-end.js";

/** The end of an attempt and what follows from it. */
export interface AttemptResult {
    readonly end: AttemptEnd;
    readonly reason?: UnknownOutcomeReason | undefined;
    /** Whether the target may still be running the request. */
    readonly isStillRunning: boolean;
    /** Whether the target is to blame. */
    readonly isTargetFault: boolean;
    /** Status of the target's answer, when there was one. */
    readonly status?: number | undefined;
    /** The answer for the record of an unrepeatable request. */
    readonly answer?: RecordedResponse | undefined;
}
