import type { JobStep } from "../../jobs/job-step.js";
import type { TargetView } from "../target-view.js";

/**
 * Score: whether a filler would meet long-running tasks that have users, or the other way round. Lower is better.
 * @param step - the step
 * @param target - the target
 * @returns 0 for no disturbance, 1 otherwise
 */
export function computeDisturbance(step: JobStep, target: TargetView): number {
    if (step.isFiller) {
        return target.hasServing ? 1 : 0;
    }
    return step.isLongRunning && target.hasFillers ? 1 : 0;
}
