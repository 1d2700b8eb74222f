import { computeReservedResources } from "../../fleet/compute-reserved-resources.js";
import type { JobStep } from "../../jobs/job-step.js";
import { isWithin } from "../../resources/is-within.js";
import type { PlacementTarget } from "../placement-target.js";

/**
 * Filter: a target has enough free capacity for one more task of a step.
 * @param step - the step
 * @param target - the target
 * @returns true when the task fits
 */
export function isCapacityLeft(step: JobStep, target: PlacementTarget): boolean {
    return isWithin(computeReservedResources(step), target.free);
}
