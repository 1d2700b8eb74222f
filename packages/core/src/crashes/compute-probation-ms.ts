import type { FleetState } from "../fleet/fleet-state.js";
import { decodeTaskKey } from "../jobs/decode-task-key.js";
import { findTask } from "../jobs/find-task.js";
import { isRepeatedSuspect } from "./is-repeated-suspect.js";

/** Time after its start for which a run is on probation, milliseconds: a task that crashes targets does so as it starts. */
const defaultProbationMs = 100;
/**
 * Computes for how long a run of a task is suspected if its target crashes.
 * @param fleet - the fleet state
 * @param encodedKey - encoded task key
 * @returns time since its start, milliseconds; infinite for a task under which targets crash later than at its start
 */
export function computeProbationMs(fleet: FleetState, encodedKey: string): number {
    if (!fleet.suspectTasks.has(encodedKey)) {
        return defaultProbationMs;
    }
    const key = decodeTaskKey(encodedKey);
    const job = key === undefined ? undefined : fleet.jobs.get(key.job);
    const task = key === undefined || job === undefined ? undefined : findTask(job, key);
    const isLongRunning = key === undefined || job?.steps[key.step]?.isLongRunning === true;
    const isRepeated = task?.crashes !== undefined && isRepeatedSuspect(task.crashes);
    return isRepeated && !isLongRunning ? Number.POSITIVE_INFINITY : defaultProbationMs;
}
