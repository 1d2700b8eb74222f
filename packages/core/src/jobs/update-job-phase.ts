import type { FleetState } from "../fleet/fleet-state.js";
import { updateJobBytes } from "../fleet/update-job-bytes.js";
import { countOccurrences } from "./count-occurrences.js";
import { isJobFinished } from "./is-job-finished.js";
import { JobPhase } from "./job-phase.js";
import type { Job } from "./job.js";
import { TaskPhase } from "./task-phase.js";
import type { TaskRecord } from "./task-record.js";

/**
 * Ends a job if one of its tasks has failed for good or all its occurrences are done. Deletes the state of an occurrence
 * that is done.
 * @param fleet - the fleet state
 * @param job - the job
 * @param occurrence - number of the occurrence of the task
 * @param task - the task whose phase has changed
 * @param atMs - wall clock of the leader, milliseconds
 */
export function updateJobPhase(
    fleet: FleetState,
    job: Job,
    occurrence: number,
    task: TaskRecord,
    atMs: number,
): void {
    if (isJobFinished(job)) {
        return;
    }
    if (task.phase === TaskPhase.Failed) {
        job.phase = JobPhase.Failed;
        job.endedAtMs = atMs;
        return;
    }
    if (job.occurrences.get(occurrence)?.every(step => step.doneCount === step.tasks.length)) {
        job.occurrences.delete(occurrence);
        updateJobBytes(fleet, job.id, job.account);
    }
    if (job.occurrences.size === 0 && job.begunCount === countOccurrences(job)) {
        job.phase = JobPhase.Completed;
        job.endedAtMs = atMs;
    }
}
