import type { JobStep } from "../jobs/job-step.js";
import type { TaskRecord } from "../jobs/task-record.js";
import { isAntiAffinityMet } from "./filters/is-anti-affinity-met.js";
import { isCapacityLeft } from "./filters/is-capacity-left.js";
import { isLabelMatching } from "./filters/is-label-matching.js";
import { isStartAllowed } from "./filters/is-start-allowed.js";
import type { PlacementTarget } from "./placement-target.js";
import { computeInterferencePenalty } from "./scores/compute-interference-penalty.js";
import { computeLocalityPenalty } from "./scores/compute-locality-penalty.js";
import { computePackingPenalty } from "./scores/compute-packing-penalty.js";
import { computeRetryPenalty } from "./scores/compute-retry-penalty.js";

/**
 * Picks the target for one task. Targets that pass all filters are compared by their scores in order: a later score
 * decides only between targets whose earlier scores are equal.
 * @param step - the step of the task
 * @param stepKey - encoded key of the step
 * @param task - the record of the task, with the target of its newest run; `undefined` when it has none
 * @param targets - the targets of its pool
 * @returns the target, or `undefined` when none passes the filters
 */
export function pickTaskTarget(
    step: JobStep,
    stepKey: string,
    task: TaskRecord | undefined,
    targets: readonly PlacementTarget[],
): PlacementTarget | undefined {
    let best: PlacementTarget | undefined;
    // Called for each task of a round with all targets of its pool, so that scores are not collected in lists.
    for (const target of targets) {
        const isFit = isStartAllowed(target) && isCapacityLeft(step, target)
            && isLabelMatching(step, target)
            && isAntiAffinityMet(step, stepKey, target);
        if (isFit && (best === undefined || isBetter(step, stepKey, task, target, best))) {
            best = target;
        }
    }
    return best;
}

/** Compares two targets by their scores in order; equal ones are not better. */
function isBetter(
    step: JobStep,
    stepKey: string,
    task: TaskRecord | undefined,
    target: PlacementTarget,
    other: PlacementTarget,
): boolean {
    const difference = computeRetryPenalty(task, target) - computeRetryPenalty(task, other)
        || computeLocalityPenalty(step, target) - computeLocalityPenalty(step, other)
        || computeInterferencePenalty(step, target) - computeInterferencePenalty(step, other)
        || computePackingPenalty(step, stepKey, target) - computePackingPenalty(step, stepKey, other);
    return difference < 0;
}
