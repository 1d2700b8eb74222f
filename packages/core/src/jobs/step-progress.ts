import type { TaskRecord } from "./task-record.js";

/** How far one step of one occurrence is. */
export interface StepProgress {
    readonly tasks: TaskRecord[];
    doneCount: number;
}
