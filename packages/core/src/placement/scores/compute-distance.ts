import type { JobStep } from "../../jobs/job-step.js";
import type { TargetView } from "../target-view.js";

/**
 * Score: whether a task would run far from its data. Lower is better.
 * @param step - the step
 * @param target - the target
 * @returns 0 near, 1 far
 */
export function computeDistance(step: JobStep, target: TargetView): number {
    return step.dataRack === undefined || step.dataRack === target.record.rack ? 0 : 1;
}
