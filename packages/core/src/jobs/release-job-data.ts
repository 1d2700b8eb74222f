import type { FleetState } from "../fleet/fleet-state.js";
import { isJobOver } from "./is-job-over.js";
import type { Job } from "./job.js";

/**
 * Lets go of what an ended job no longer needs, once nothing of it may be running.
 * @param fleet - the fleet state
 * @param job - the job
 */
export function releaseJobData(fleet: FleetState, job: Job): void {
    if (!isJobOver(job) || job.placedCount > 0) {
        return;
    }
    fleet.activeJobs.delete(job.id);
    job.spec = "";
    job.steps = [];
    job.occurrences = [];
}
