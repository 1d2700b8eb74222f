import type { Job } from "./job.js";

/**
 * Counts the occurrences of a job.
 * @param job - the job
 * @returns their number; 1 for a job that runs once
 */
export function countOccurrences({ times }: Pick<Job, "times">): number {
    return Math.max(1, times);
}
