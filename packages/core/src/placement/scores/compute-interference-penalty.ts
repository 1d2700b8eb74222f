import type { JobStep } from "../../jobs/job-step.js";
import type { PlacementTarget } from "../placement-target.js";

/**
 * Score: whether a filler would share a target with long-running tasks that serve users, or such a task with fillers.
 * Lower is better.
 * @param step - the step
 * @param target - the target
 * @returns 0 when they would not share the target, 1 otherwise
 */
export function computeInterferencePenalty(step: JobStep, target: PlacementTarget): number {
    if (step.isFiller) {
        return target.hasServingTasks ? 1 : 0;
    }
    return step.isLongRunning && target.hasFillers ? 1 : 0;
}
