import type { TaskKey } from "./task-key.js";

/**
 * Encodes the name of a task.
 * @param key - the task
 * @returns job, occurrence, step and index, joined by dots
 */
export function encodeTaskKey({ job, occurrence, step, index }: TaskKey): string {
    return `${job}.${occurrence}.${step}.${index}`;
}
