import type { TaskRecord } from "./task-record.js";

/** Progress of one step in one occurrence of a job. */
export interface StepProgress {
    readonly tasks: TaskRecord[];
    doneCount: number;
}
