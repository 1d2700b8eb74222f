import type { TaskEnd } from "../jobs/task-end.js";
import type { CommandKind } from "./command-kind.js";

/** Records ends of task runs, before they are confirmed to the targets, which then delete them. */
export interface RecordEndsCommand {
    readonly kind: CommandKind.RecordEnds;
    readonly ends: readonly TaskEnd[];
    /** Wall clock of the leader, milliseconds. */
    readonly atMs: number;
}
