import type { FleetState } from "../fleet/fleet-state.js";
import { decodeTaskKey } from "./decode-task-key.js";
import { findTask } from "./find-task.js";
import { isJobFinished } from "./is-job-finished.js";
import { TaskPhase } from "./task-phase.js";

/**
 * Tells whether a run was given up before its end was known, so that its task is or was started again.
 * @param fleet - the jobs
 * @param task - encoded task key
 * @param run - run number
 * @returns false while the run is recorded, once it has ended its task, and once its job has ended without a later run
 */
export function isRunReleased({ jobs }: Pick<FleetState, "jobs">, task: string, run: number): boolean {
    const key = decodeTaskKey(task);
    const job = key === undefined ? undefined : jobs.get(key.job);
    const record = key === undefined || job === undefined ? undefined : findTask(job, key);
    if (job === undefined || record === undefined) {
        return false;
    }
    const isWaiting = record.phase !== TaskPhase.Placed && record.phase !== TaskPhase.Done;
    return record.run !== run || (isWaiting && !isJobFinished(job));
}
