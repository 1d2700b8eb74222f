import { createRandom } from "./create-random.js";
import type { SimulatedJob } from "./simulated-job.js";

/**
 * Builds a load in which the tasks of some jobs take longer than their clients estimate.
 * @param jobs - the jobs
 * @param share - share of the jobs that take longer
 * @param factor - how many times as long they take
 * @param seed - seed of the random numbers
 * @returns the jobs with their durations
 */
export function buildLongJobs(
    jobs: readonly SimulatedJob[],
    share: number,
    factor: number,
    seed: number,
): SimulatedJob[] {
    const random = createRandom(seed);
    return jobs.map(job =>
        random() < share ? { ...job, durationsMs: job.durationsMs.map(duration => duration * factor) } : job
    );
}
