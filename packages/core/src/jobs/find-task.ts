import type { Job } from "./job.js";
import type { TaskKey } from "./task-key.js";
import type { TaskRecord } from "./task-record.js";

/**
 * Finds the record of a task.
 * @param job - the job
 * @param key - the key of the task
 * @returns the record of the task, or `undefined` when the job has no such task, its occurrence has not begun or is done
 */
export function findTask(job: Job, key: TaskKey): TaskRecord | undefined {
    return job.occurrences.get(key.occurrence)?.[key.step]?.tasks[key.index];
}
