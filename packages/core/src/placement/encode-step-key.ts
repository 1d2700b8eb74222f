/**
 * Builds the name of one step of one occurrence.
 * @param job - id of the job
 * @param occurrence - the occurrence
 * @param step - the step
 * @returns the name, a prefix of its tasks' encoded keys
 */
export function encodeStepKey(job: string, occurrence: number, step: number): string {
    return `${job}.${occurrence}.${step}`;
}
