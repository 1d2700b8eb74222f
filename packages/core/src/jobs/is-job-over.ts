import { JobPhase } from "./job-phase.js";
import type { Job } from "./job.js";

/**
 * Tells whether a job has ended for its caller.
 * @param job - the job
 * @returns true when none of its tasks may start again
 */
export function isJobOver(job: Job): boolean {
    return job.phase !== JobPhase.Queued && job.phase !== JobPhase.Running;
}
