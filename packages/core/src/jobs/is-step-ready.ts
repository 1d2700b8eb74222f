import type { Job } from "./job.js";

/**
 * Tells whether all steps that a step depends on are done.
 * @param job - the job
 * @param occurrence - index of the occurrence
 * @param step - position of the step
 * @returns true when the tasks of the step may start
 */
export function isStepReady(job: Job, occurrence: number, step: number): boolean {
    const progress = job.occurrences.get(occurrence);
    const dependencies = job.steps[step]?.after ?? [];
    return dependencies.every(dependency => progress?.[dependency]?.doneCount === job.steps[dependency]?.count);
}
