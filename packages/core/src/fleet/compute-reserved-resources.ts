import type { JobStep } from "../jobs/job-step.js";
import type { Resources } from "../resources/resources.js";

/**
 * Computes the capacity that one task of a step reserves on a target. Fillers (best-effort tasks) reserve no processor
 * time, as they only use what other tasks leave idle.
 * @param step - the step
 * @returns the reserved resources
 */
export function computeReservedResources(step: JobStep): Resources {
    return step.isFiller ? { ...step.needs, cpu: 0 } : step.needs;
}
