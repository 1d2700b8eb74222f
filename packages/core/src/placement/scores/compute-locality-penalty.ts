import type { JobStep } from "../../jobs/job-step.js";
import type { PlacementTarget } from "../placement-target.js";

/**
 * Score: whether a task would run far from its data. Lower is better.
 * @param step - the step
 * @param target - the target
 * @returns 0 near, 1 far
 */
export function computeLocalityPenalty(step: JobStep, target: PlacementTarget): number {
    return step.dataRack === undefined || step.dataRack === target.record.rack ? 0 : 1;
}
