import type { TaskKey } from "./task-key.js";

/**
 * Decodes a task key.
 * @param text - the output of encodeTaskKey
 * @returns the key, or `undefined` when the text is not a task key
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
