import type { JobStep } from "../jobs/job-step.js";
import { parseStepKey } from "../placement/parse-step-key.js";
import { addResources } from "../resources/add-resources.js";
import { computeReservedResources } from "./compute-reserved-resources.js";
import type { TargetLoad } from "./target-load.js";

/**
 * Counts a task of a step in the load of a target, so that placement need not look up the step of each of its runs.
 * @param load - the load
 * @param step - the step of the task
 * @param taskKey - encoded key of the task
 * @param change - 1 to add the task, -1 to remove it
 */
export function countStepTask(load: TargetLoad, step: JobStep, taskKey: string, change: 1 | -1): void {
    load.used = addResources(load.used, computeReservedResources(step), change);
    if (step.isFiller) {
        load.fillerCount += change;
    }
    else if (step.isLongRunning) {
        load.servingCount += change;
        load.servingCpu += change * step.needs.cpu;
    }
    const stepKey = parseStepKey(taskKey);
    const count = (load.stepCounts.get(stepKey) ?? 0) + change;
    if (count > 0) {
        load.stepCounts.set(stepKey, count);
    }
    else {
        load.stepCounts.delete(stepKey);
    }
}
