import type { JobStep } from "../../jobs/job-step.js";
import type { PlacementTarget } from "../placement-target.js";

/**
 * Filter: a target may have one more task of a step.
 * @param step - the step
 * @param stepName - its name
 * @param target - the target
 * @returns false when the step's bound per target is reached
 */
export function isAntiAffinityMet(step: JobStep, stepName: string, target: PlacementTarget): boolean {
    return step.maxPerTarget === 0 || (target.stepCounts.get(stepName) ?? 0) < step.maxPerTarget;
}
