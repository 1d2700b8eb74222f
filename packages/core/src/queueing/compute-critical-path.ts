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
        const start = Math.max(0, ...step.after.map(dependency => ends[dependency] ?? 0));
        ends.push(start + (isDone || step.isLongRunning ? 0 : estimate(job, step)));
    });
    return Math.max(0, ...ends);
}
