import type { JobPhase } from "@daisylock/core/jobs/job-phase.js";

import type { JobOutcome } from "./job-outcome.js";

/** Reply to a client's request for a job or queue. */
export interface JobReply {
    readonly outcome: JobOutcome;
    readonly phase?: JobPhase | undefined;
    readonly pending?: number | undefined;
    /** Delay before a retry, whole seconds. Present only if the request has certainly not run. */
    readonly retryAfterS?: number | undefined;
    /** Why a request is invalid or refused. */
    readonly reason?: string | undefined;
}
