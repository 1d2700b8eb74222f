import type { TaskStart } from "../jobs/task-start.js";
import type { CommandKind } from "./command-kind.js";

/** Records starts before their orders are sent. */
export interface RecordStartsCommand {
    readonly kind: CommandKind.RecordStarts;
    readonly starts: readonly TaskStart[];
}
