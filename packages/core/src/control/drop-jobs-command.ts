import type { CommandKind } from "./command-kind.js";

/** Forgets jobs that ended before a time. */
export interface DropJobsCommand {
    readonly kind: CommandKind.DropJobs;
    /** Wall clock of the leader, milliseconds. */
    readonly endedBeforeMs: number;
}
