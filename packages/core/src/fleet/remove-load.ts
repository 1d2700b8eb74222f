import type { Job } from "../jobs/job.js";
import { addResources } from "../resources/add-resources.js";
import { noResources } from "../resources/no-resources.js";
import { computeReservedResources } from "./compute-reserved-resources.js";
import type { FleetState } from "./fleet-state.js";

/**
 * Counts a task as no longer running.
 * @param state - the fleet state
 * @param job - its job
 * @param step - its step
 * @param name - its encoded key
 * @param target - id of the target it was placed on
 */
export function removeLoad(state: FleetState, job: Job, step: number, name: string, target: string): void {
    const definition = job.steps[step];
    const load = state.targetLoads.get(target);
    if (definition === undefined || load === undefined || !load.runs.delete(name)) {
        return;
    }
    load.used = addResources(load.used, computeReservedResources(definition), -1);
    if (load.runs.size === 0) {
        state.targetLoads.delete(target);
    }
    const account = state.accountLoads.get(job.account) ?? noResources;
    state.accountLoads.set(job.account, addResources(account, definition.needs, -1));
}
