import { JobPhase } from "./job-phase.js";
import type { Job } from "./job.js";

/**
 * Tells whether a job has completed, failed or been cancelled.
 * @param job - the job
 * @returns true when no task of the job may start again; tasks that were placed may still be running
 */
export function isJobFinished(job: Job): boolean {
    return job.phase !== JobPhase.Queued && job.phase !== JobPhase.Running;
}
