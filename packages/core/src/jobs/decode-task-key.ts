import type { TaskKey } from "./task-key.js";

const taskKeyPattern = /^([^.]*)\.(\d+)\.(\d+)\.(\d+)$/;

/**
 * Decodes a task key.
 * @param text - the output of encodeTaskKey
 * @returns the key, or `undefined` when the text is not a task key
 */
export function decodeTaskKey(text: string): TaskKey | undefined {
    const [, job, occurrence, step, index] = taskKeyPattern.exec(text) ?? [];
    return job === undefined
        ? undefined
        : { job, occurrence: Number(occurrence), step: Number(step), index: Number(index) };
}
