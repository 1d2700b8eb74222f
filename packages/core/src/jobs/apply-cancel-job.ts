import type { CancelJobCommand } from "../control/cancel-job-command.js";
import type { ControlState } from "../control/control-state.js";
import { isJobFinished } from "./is-job-finished.js";
import { JobPhase } from "./job-phase.js";
import { releaseJobData } from "./release-job-data.js";

/**
 * Cancels a job. A finished job keeps its phase and end time.
 * @param state - the replicated state
 * @param command - the command
 * @returns true when a job with this id exists
 */
export function applyCancelJob({ fleet }: ControlState, { id, atMs }: CancelJobCommand): boolean {
    const job = fleet.jobs.get(id);
    if (job === undefined) {
        return false;
    }
    if (!isJobFinished(job)) {
        job.phase = JobPhase.Cancelled;
        job.endedAtMs = atMs;
    }
    releaseJobData(fleet, job);
    return true;
}
