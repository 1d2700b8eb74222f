import type { FleetState } from "../fleet/fleet-state.js";
import { decodeTaskKey } from "./decode-task-key.js";

/**
 * Counts the runs that end by themselves; long-running tasks do not.
 * @param fleet - the fleet state
 * @param runs - encoded task keys of the runs
 * @returns the number of runs
 */
export function countEndingRuns(fleet: FleetState, runs: Iterable<string>): number {
    return [...runs].filter(task => {
        const key = decodeTaskKey(task);
        const step = key === undefined ? undefined : fleet.jobs.get(key.job)?.steps[key.step];
        return step?.isLongRunning !== true;
    }).length;
}
