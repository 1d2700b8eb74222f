import type { CommandKind } from "./command-kind.js";

/** Deletes jobs that ended before a given time. */
export interface DropJobsCommand {
    readonly kind: CommandKind.DropJobs;
    /** Wall clock of the leader, milliseconds. */
    readonly endedBeforeMs: number;
}
