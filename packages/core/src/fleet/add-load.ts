import type { Job } from "../jobs/job.js";
import type { TaskRecord } from "../jobs/task-record.js";
import { addResources } from "../resources/add-resources.js";
import { zeroResources } from "../resources/zero-resources.js";
import { countStepTask } from "./count-step-task.js";
import type { FleetState } from "./fleet-state.js";
import type { TargetLoad } from "./target-load.js";

/**
 * Adds a placed task to the loads of its target, its client account and its job.
 * @param state - the fleet state
 * @param job - the job of the task
 * @param step - position of the step in the job
 * @param taskKey - encoded key of the task
 * @param task - run and target of the task
 */
export function addLoad(
    state: Pick<FleetState, "targetLoads" | "accountLoads" | "jobCpus">,
    job: Job,
    step: number,
    taskKey: string,
    task: Pick<TaskRecord, "run" | "target">,
): void {
    const definition = job.steps[step];
    if (definition === undefined) {
        return;
    }
    const load = state.targetLoads.get(task.target) ?? createTargetLoad();
    load.runs.set(taskKey, task.run);
    countStepTask(load, definition, taskKey, 1);
    state.targetLoads.set(task.target, load);
    const accountLoad = state.accountLoads.get(job.account) ?? zeroResources;
    state.accountLoads.set(job.account, addResources(accountLoad, definition.needs));
    state.jobCpus.set(job.id, (state.jobCpus.get(job.id) ?? 0) + definition.needs.cpu);
}

function createTargetLoad(): TargetLoad {
    return {
        used: zeroResources,
        servingCpu: 0,
        servingCount: 0,
        fillerCount: 0,
        runs: new Map(),
        stepCounts: new Map(),
    };
}
