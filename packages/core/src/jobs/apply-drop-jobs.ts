import type { ControlState } from "../control/control-state.js";
import type { DropJobsCommand } from "../control/drop-jobs-command.js";
import { isJobOver } from "./is-job-over.js";

/**
 * Forgets jobs that ended long ago and of which nothing may be running.
 * @param state - the replicated state
 * @param command - the command
 * @returns how many were forgotten
 */
export function applyDropJobs({ fleet }: ControlState, { endedBeforeMs }: DropJobsCommand): number {
    const before = fleet.jobs.size;
    for (const job of fleet.jobs.values()) {
        if (isJobOver(job) && job.placedCount === 0 && job.endedAtMs < endedBeforeMs) {
            fleet.jobs.delete(job.id);
        }
    }
    return before - fleet.jobs.size;
}
