import type { Job } from "../jobs/job.js";
import type { EstimateStep } from "./estimate-step.js";

/**
 * Computes the remaining work of a job. Long-running steps count as 0.
 * @param job - the job
 * @param occurrence - the occurrence whose completed tasks are excluded; `undefined` to count every task
 * @param estimate - estimates the duration of a step, which is applied to each of its tasks
 * @returns the work in thousandths of a core times milliseconds
 */
export function computeRemainingWork(job: Job, occurrence: number | undefined, estimate: EstimateStep): number {
    return job.steps.reduce((sum, step, position) => {
        const doneCount = occurrence === undefined ? 0 : job.occurrences.get(occurrence)?.[position]?.doneCount ?? 0;
        return sum + (step.isLongRunning ? 0 : (step.count - doneCount) * step.needs.cpu * estimate(job, step));
    }, 0);
}
