import type { JobRequest } from "@daisylock/core/jobs/job-request.js";

import type { JobAction } from "./job-action.js";

/** A client's request for a job or queue, as an entry forwards it to the leader. */
export interface JobCall {
    readonly verb: JobAction;
    readonly host: string;
    readonly path: string;
    /** Key that the client presented; empty if there was none. */
    readonly key: string;
    /** The job to submit; `undefined` for other actions. */
    readonly job: JobRequest | undefined;
}
