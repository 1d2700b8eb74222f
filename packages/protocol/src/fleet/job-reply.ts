import type { JobPhase } from "@daisylock/core/jobs/job-phase.js";

import type { JobOutcome } from "./job-outcome.js";

/** The answer to a caller's request about jobs. */
export interface JobReply {
    readonly outcome: JobOutcome;
    readonly phase?: JobPhase | undefined;
    readonly pending?: number | undefined;
    /** When to come back, whole seconds; only where the request has certainly not run. */
    readonly retryAfterS?: number | undefined;
    /** Why a request is invalid or refused. */
    readonly reason?: string | undefined;
}
