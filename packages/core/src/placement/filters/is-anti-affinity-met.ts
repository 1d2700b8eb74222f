import type { JobStep } from "../../jobs/job-step.js";
import type { PlacementTarget } from "../placement-target.js";

/**
 * Filter: a target may run one more task of a step.
 * @param step - the step
 * @param stepKey - encoded key of the step
 * @param target - the target
 * @returns false when the target already runs the maximum number of tasks that the step allows per target
 */
export function isAntiAffinityMet(step: JobStep, stepKey: string, target: PlacementTarget): boolean {
    return step.maxPerTarget === 0 || (target.stepCounts.get(stepKey) ?? 0) < step.maxPerTarget;
}
