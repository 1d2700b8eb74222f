import type { FleetState } from "../fleet/fleet-state.js";
import { decodeTaskKey } from "../jobs/decode-task-key.js";
import { findTask } from "../jobs/find-task.js";
import { isJobFinished } from "../jobs/is-job-finished.js";
import { isRunReleased } from "../jobs/is-run-released.js";
import { TaskPhase } from "../jobs/task-phase.js";
import type { TaskRun } from "./task-run.js";

/**
 * Tells whether a run that was released and goes on keeps the next run of its task from starting.
 * @param fleet - the jobs
 * @param taskRun - the run
 * @returns false for a run that is recorded, a task that is done or of a job that has ended, and one that may run twice at
 *     a time
 */
export function isStartBlocked(fleet: Pick<FleetState, "jobs">, { task, run }: TaskRun): boolean {
    const key = decodeTaskKey(task);
    const job = key === undefined ? undefined : fleet.jobs.get(key.job);
    if (key === undefined || job === undefined || isJobFinished(job) || job.steps[key.step]?.isSpeculative !== false) {
        return false;
    }
    return findTask(job, key)?.phase !== TaskPhase.Done && isRunReleased(fleet, task, run);
}
