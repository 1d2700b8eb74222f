import type { JobRequest } from "../jobs/job-request.js";
import type { CommandKind } from "./command-kind.js";

/** Adds an accepted job to a queue. */
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
