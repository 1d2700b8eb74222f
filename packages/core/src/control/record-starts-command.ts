import type { TaskStart } from "../jobs/task-start.js";
import type { CommandKind } from "./command-kind.js";

/** Records task starts before the run requests are sent to the targets. */
export interface RecordStartsCommand {
    readonly kind: CommandKind.RecordStarts;
    readonly starts: readonly TaskStart[];
    /** Ids of jobs of which a target has confirmed a start since; absent in commands of earlier releases. */
    readonly begunJobs?: readonly string[] | undefined;
}
