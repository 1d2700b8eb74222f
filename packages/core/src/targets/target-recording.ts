import type { TaskEnd } from "../jobs/task-end.js";

/** Result of the recording of a target incarnation. */
export interface TargetRecording {
    /** False when the report is of an older incarnation of the target. */
    readonly isNewest: boolean;
    /** The ends of runs on incarnations that were replaced. */
    readonly ends: readonly TaskEnd[];
    /** Encoded keys of the tasks that are given up because targets crash under them. */
    readonly poisonTasks: readonly string[];
}
