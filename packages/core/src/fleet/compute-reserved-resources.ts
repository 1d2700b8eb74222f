import type { JobStep } from "../jobs/job-step.js";
import type { Resources } from "../resources/resources.js";

/**
 * Computes what a task of a step takes from a target's capacity. Fillers take no processor time from it.
 * @param step - the step
 * @returns the room that one task needs
 */
export function computeReservedResources(step: JobStep): Resources {
    return step.isFiller ? { ...step.needs, cpu: 0 } : step.needs;
}
