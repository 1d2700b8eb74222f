import type { Job } from "../jobs/job.js";
import type { TaskRecord } from "../jobs/task-record.js";
import { addResources } from "../resources/add-resources.js";
import { noResources } from "../resources/no-resources.js";
import { computeReservedResources } from "./compute-reserved-resources.js";
import type { FleetState } from "./fleet-state.js";

/**
 * Counts a placed task as running.
 * @param state - the fleet state
 * @param job - its job
 * @param step - its step
 * @param name - its encoded key
 * @param task - its record
 */
export function addLoad(state: FleetState, job: Job, step: number, name: string, task: TaskRecord): void {
    const definition = job.steps[step];
    if (definition === undefined) {
        return;
    }
    const load = state.targetLoads.get(task.target) ?? { used: noResources, runs: new Map<string, number>() };
    load.used = addResources(load.used, computeReservedResources(definition));
    load.runs.set(name, task.run);
    state.targetLoads.set(task.target, load);
    const account = state.accountLoads.get(job.account) ?? noResources;
    state.accountLoads.set(job.account, addResources(account, definition.needs));
}
