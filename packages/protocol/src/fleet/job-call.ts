import type { JobRequest } from "@daisylock/core/jobs/job-request.js";

import type { JobAction } from "./job-action.js";

/** A caller's request about jobs, as an entry passes it to the leader. */
export interface JobCall {
    readonly verb: JobAction;
    readonly host: string;
    readonly path: string;
    /** Key that the caller presented; empty for none. */
    readonly key: string;
    /** The job, for a submission. */
    readonly job: JobRequest | undefined;
}
