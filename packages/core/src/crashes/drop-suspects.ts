import type { FleetState } from "../fleet/fleet-state.js";

/**
 * Removes the tasks of a finished job from the suspects.
 * @param fleet - the fleet state
 * @param job - id of the job
 */
export function dropSuspects(fleet: FleetState, job: string): void {
    for (const task of fleet.suspectTasks) {
        if (task.startsWith(`${job}.`)) {
            fleet.suspectTasks.delete(task);
        }
    }
}
