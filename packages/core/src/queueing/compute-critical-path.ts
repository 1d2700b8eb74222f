import type { Job } from "../jobs/job.js";
import type { EstimateStep } from "./estimate-step.js";

/**
 * Computes the longest chain of work of a job.
 * @param job - the job
 * @param occurrence - the occurrence whose finished steps are left out; `undefined` to count every step
 * @param estimate - guesses how long one task of a step takes
 * @returns milliseconds
 */
export function computeCriticalPath(job: Job, occurrence: number | undefined, estimate: EstimateStep): number {
    const ends: number[] = [];
    job.steps.forEach((step, position) => {
        const progress = occurrence === undefined ? undefined : job.occurrences[occurrence]?.[position];
        const isDone = progress !== undefined && progress.doneCount === step.count;
        const startsAt = Math.max(0, ...step.after.map(earlier => ends[earlier] ?? 0));
        ends.push(startsAt + (isDone || step.isLongRunning ? 0 : estimate(job, step)));
    });
    return Math.max(0, ...ends);
}
