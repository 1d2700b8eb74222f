import type { Job } from "./job.js";

/**
 * Tells whether the steps that a step comes after are done.
 * @param job - the job
 * @param occurrence - the occurrence
 * @param step - the step
 * @returns true when its tasks may start
 */
export function isStepReady(job: Job, occurrence: number, step: number): boolean {
    const progress = job.occurrences[occurrence];
    const after = job.steps[step]?.after ?? [];
    return after.every(earlier => progress?.[earlier]?.doneCount === job.steps[earlier]?.count);
}
