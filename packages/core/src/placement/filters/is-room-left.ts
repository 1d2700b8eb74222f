import { computeRoomNeeded } from "../../fleet/compute-room-needed.js";
import type { JobStep } from "../../jobs/job-step.js";
import { isWithin } from "../../resources/is-within.js";
import type { TargetView } from "../target-view.js";

/**
 * Filter: a target has room for one more task of a step.
 * @param step - the step
 * @param target - the target
 * @returns true when the task fits
 */
export function isRoomLeft(step: JobStep, target: TargetView): boolean {
    return isWithin(computeRoomNeeded(step), target.free);
}
