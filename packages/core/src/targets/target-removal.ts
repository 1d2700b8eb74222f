import type { TaskEnd } from "../jobs/task-end.js";

/** Result of the removal of a target incarnation. */
export interface TargetRemoval {
    /** False when this incarnation of the target was not recorded. */
    readonly isKnown: boolean;
    /** The ends of the runs on it. */
    readonly ends: readonly TaskEnd[];
    /** Encoded keys of the tasks that are given up because targets crash under them. */
    readonly poisonTasks: readonly string[];
}
