import type { TaskRecord } from "../../jobs/task-record.js";
import type { TargetView } from "../target-view.js";

/**
 * Score: whether a task that has failed would go back to the target it failed on. Lower is better.
 * @param task - the task
 * @param target - the target
 * @returns 1 for the same target, 0 otherwise
 */
export function computeRepetition(task: TaskRecord | undefined, target: TargetView): number {
    return task !== undefined && task.failures > 0 && task.target === target.record.id ? 1 : 0;
}
