import type { JobStep } from "../../jobs/job-step.js";
import type { TargetView } from "../target-view.js";

/**
 * Filter: a target may have one more task of a step.
 * @param step - the step
 * @param stepName - its name
 * @param target - the target
 * @returns false when the step's bound per target is reached
 */
export function isAffinityKept(step: JobStep, stepName: string, target: TargetView): boolean {
    return step.maxPerTarget === 0 || (target.stepCounts.get(stepName) ?? 0) < step.maxPerTarget;
}
