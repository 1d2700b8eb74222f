import type { EncodedJob } from "./encoded-job.js";
import type { Job } from "./job.js";

/**
 * Encodes a job for a snapshot, with the occurrences that have begun and are not done.
 * @param job - the job
 * @returns plain data for decodeJob
 */
export function encodeJob(job: Job): EncodedJob {
    return { ...job, occurrences: [...job.occurrences] };
}
