import type { JobRequest } from "../jobs/job-request.js";
import type { CommandKind } from "./command-kind.js";

/** Submits a job to a queue. Idempotent by job id, for the same account and queue. */
export interface SubmitJobCommand {
    readonly kind: CommandKind.SubmitJob;
    readonly id: string;
    readonly queue: string;
    /** Client account; empty for none. */
    readonly account: string;
    readonly request: JobRequest;
    /** Wall clock of the leader, milliseconds. */
    readonly atMs: number;
}
