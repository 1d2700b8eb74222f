import type { Job } from "../jobs/job.js";
import { addResources } from "../resources/add-resources.js";
import { zeroResources } from "../resources/zero-resources.js";
import { countStepTask } from "./count-step-task.js";
import type { FleetState } from "./fleet-state.js";

/**
 * Removes a task from the loads of its target, its client account and its job.
 * @param state - the fleet state
 * @param job - the job of the task
 * @param step - position of the step in the job
 * @param taskKey - encoded key of the task
 * @param target - id of the target on which it was placed
 */
export function removeLoad(state: FleetState, job: Job, step: number, taskKey: string, target: string): void {
    const definition = job.steps[step];
    const load = state.targetLoads.get(target);
    if (definition === undefined || load === undefined || !load.runs.delete(taskKey)) {
        return;
    }
    countStepTask(load, definition, taskKey, -1);
    if (load.runs.size === 0) {
        state.targetLoads.delete(target);
    }
    const accountLoad = state.accountLoads.get(job.account) ?? zeroResources;
    state.accountLoads.set(job.account, addResources(accountLoad, definition.needs, -1));
    const jobCpu = (state.jobCpus.get(job.id) ?? 0) - definition.needs.cpu;
    if (jobCpu > 0) {
        state.jobCpus.set(job.id, jobCpu);
    }
    else {
        state.jobCpus.delete(job.id);
    }
}
