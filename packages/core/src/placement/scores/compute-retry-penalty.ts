import type { TaskRecord } from "../../jobs/task-record.js";
import type { PlacementTarget } from "../placement-target.js";

/**
 * Score: whether a task that has failed before would start on the target of its newest run again. Lower is better.
 * @param task - the record of the task; `undefined` when it has none
 * @param target - the target
 * @returns 1 for the same target, 0 otherwise
 */
export function computeRetryPenalty(task: TaskRecord | undefined, target: PlacementTarget): number {
    return task !== undefined && task.failures > 0 && task.target === target.record.id ? 1 : 0;
}
