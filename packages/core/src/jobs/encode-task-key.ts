import type { TaskKey } from "./task-key.js";

/**
 * Encodes a task key.
 * @param key - the key
 * @returns job id, occurrence, step and index, joined by dots
 */
export function encodeTaskKey({ job, occurrence, step, index }: TaskKey): string {
    return `${job}.${occurrence}.${step}.${index}`;
}
