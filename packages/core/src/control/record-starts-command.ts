import type { TaskStart } from "../jobs/task-start.js";
import type { CommandKind } from "./command-kind.js";

/** Records task starts before the run requests are sent to the targets. */
export interface RecordStartsCommand {
    readonly kind: CommandKind.RecordStarts;
    readonly starts: readonly TaskStart[];
}
