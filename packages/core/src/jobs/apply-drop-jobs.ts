import type { ControlState } from "../control/control-state.js";
import type { DropJobsCommand } from "../control/drop-jobs-command.js";
import { updateJobBytes } from "../fleet/update-job-bytes.js";
import { isJobFinished } from "./is-job-finished.js";

/**
 * Deletes finished jobs that ended before a given time and have no task that may still be running.
 * @param state - the replicated state
 * @param command - the command
 * @returns the number of deleted jobs
 */
export function applyDropJobs({ fleet }: ControlState, { endedBeforeMs }: DropJobsCommand): number {
    const countBefore = fleet.jobs.size;
    for (const job of fleet.jobs.values()) {
        if (isJobFinished(job) && job.placedCount === 0 && job.endedAtMs < endedBeforeMs) {
            fleet.jobs.delete(job.id);
            updateJobBytes(fleet, job.id, job.account);
        }
    }
    return countBefore - fleet.jobs.size;
}
