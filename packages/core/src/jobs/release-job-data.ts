import { dropSuspects } from "../crashes/drop-suspects.js";
import type { FleetState } from "../fleet/fleet-state.js";
import { updateJobBytes } from "../fleet/update-job-bytes.js";
import { isJobFinished } from "./is-job-finished.js";
import type { Job } from "./job.js";

/**
 * Releases the memory of a finished job, except its metadata, once none of its tasks may be running.
 * @param fleet - the fleet state
 * @param job - the job
 */
export function releaseJobData(fleet: FleetState, job: Job): void {
    if (!isJobFinished(job) || job.placedCount > 0) {
        return;
    }
    fleet.activeJobs.delete(job.id);
    dropSuspects(fleet, job.id);
    job.spec = "";
    job.steps = [];
    job.occurrences.clear();
    updateJobBytes(fleet, job.id, job.account);
}
