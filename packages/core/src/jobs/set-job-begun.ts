import { JobPhase } from "./job-phase.js";
import type { Job } from "./job.js";

/**
 * Sets a job that waits to running, because a run of one of its tasks is known to have begun. It stays so if that run is
 * lost.
 * @param job - the job; one that is unknown, has begun or has finished is left as it is
 */
export function setJobBegun(job: Job | undefined): void {
    if (job?.phase === JobPhase.Queued) {
        job.phase = JobPhase.Running;
    }
}
