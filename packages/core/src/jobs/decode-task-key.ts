import type { TaskKey } from "./task-key.js";

/**
 * Decodes the name of a task.
 * @param text - the output of encodeTaskKey
 * @returns the task, or `undefined` when the text names none
 */
export function decodeTaskKey(text: string): TaskKey | undefined {
    const [job, ...numbers] = text.split(".");
    const [occurrence, step, index] = numbers.map(Number);
    if (job === undefined || occurrence === undefined || step === undefined || index === undefined) {
        return undefined;
    }
    return numbers.length === 3 && numbers.every(part => /^\d+$/.test(part))
        ? { job, occurrence, step, index }
        : undefined;
}
