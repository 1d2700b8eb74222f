/**
 * Builds the key of one step of one occurrence of a job.
 * @param job - id of the job
 * @param occurrence - index of the occurrence
 * @param step - index of the step
 * @returns the key, a prefix of the encoded keys of its tasks
 */
export function encodeStepKey(job: string, occurrence: number, step: number): string {
    return `${job}.${occurrence}.${step}`;
}
