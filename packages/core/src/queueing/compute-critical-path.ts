import { computeLatestEnd } from "../jobs/compute-latest-end.js";
import type { Job } from "../jobs/job.js";
import type { EstimateStep } from "./estimate-step.js";

/**
 * Computes the length of the critical path of a job. Long-running steps count as 0.
 * @param job - the job
 * @param occurrence - the occurrence whose completed steps count as 0; `undefined` to count every step
 * @param estimate - estimates the duration of a step
 * @returns the length in milliseconds
 */
export function computeCriticalPath(job: Job, occurrence: number | undefined, estimate: EstimateStep): number {
    const ends: number[] = [];
    job.steps.forEach((step, position) => {
        const progress = occurrence === undefined ? undefined : job.occurrences.get(occurrence)?.[position];
        const isDone = progress !== undefined && progress.doneCount === step.count;
        ends.push(computeLatestEnd(ends, step.after) + (isDone || step.isLongRunning ? 0 : estimate(job, step)));
    });
    return ends.reduce((latest, end) => Math.max(latest, end), 0);
}
