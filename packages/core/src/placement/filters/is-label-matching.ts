import type { JobStep } from "../../jobs/job-step.js";
import type { PlacementTarget } from "../placement-target.js";

/**
 * Filter: a target has the label that a step requires.
 * @param step - the step
 * @param target - the target
 * @returns true when the target has the label or the step requires none
 */
export function isLabelMatching(step: JobStep, target: PlacementTarget): boolean {
    return step.requiredLabel === undefined || target.record.labels.includes(step.requiredLabel);
}
