import type { Job } from "../jobs/job.js";

/**
 * Computes when an occurrence of a job is due.
 * @param job - the job
 * @param occurrence - index of the occurrence
 * @returns wall-clock time, milliseconds; the time of acceptance of a job without scheduled occurrences
 */
export function computeDueTime(job: Job, occurrence: number): number {
    return job.times > 0 ? job.startAtMs + occurrence * job.intervalMs : job.acceptedAtMs;
}
