import type { TaskRun } from "./task-run.js";

/** The runs that a target lists in one response. */
export interface RunList {
    readonly running: readonly TaskRun[];
    readonly ended: readonly TaskRun[];
    /** Whether `ended` holds all ends that the target has to report; `running` always holds all runs. */
    readonly isComplete: boolean;
    /** When the list was requested, monotonic milliseconds. */
    readonly requestedAt: number;
}
