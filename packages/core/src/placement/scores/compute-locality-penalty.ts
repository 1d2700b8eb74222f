import type { JobStep } from "../../jobs/job-step.js";
import type { PlacementTarget } from "../placement-target.js";

/**
 * Score: whether a task would run in another rack than its data. Lower is better.
 * @param step - the step
 * @param target - the target
 * @returns 0 when the target is in the rack of the data or the step names no such rack, 1 otherwise
 */
export function computeLocalityPenalty(step: JobStep, target: PlacementTarget): number {
    return step.dataRack === undefined || step.dataRack === target.record.rack ? 0 : 1;
}
