import type { Job } from "../jobs/job.js";
import type { EstimateStep } from "./estimate-step.js";

/**
 * Computes the work of a job that is left.
 * @param job - the job
 * @param occurrence - the occurrence whose finished tasks are left out; `undefined` to count every task
 * @param estimate - guesses how long one task of a step takes
 * @returns thousandths of a core times milliseconds
 */
export function computeRemainingWork(job: Job, occurrence: number | undefined, estimate: EstimateStep): number {
    return job.steps.reduce((sum, step, position) => {
        const done = occurrence === undefined ? 0 : job.occurrences[occurrence]?.[position]?.doneCount ?? 0;
        return sum + (step.isLongRunning ? 0 : (step.count - done) * step.needs.cpu * estimate(job, step));
    }, 0);
}
