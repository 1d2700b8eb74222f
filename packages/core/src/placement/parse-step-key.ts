/**
 * Parses the key of a task's step, with which the key of the task begins.
 * @param taskKey - encoded key of the task
 * @returns encoded key of the step
 */
export function parseStepKey(taskKey: string): string {
    return taskKey.slice(0, taskKey.lastIndexOf("."));
}
