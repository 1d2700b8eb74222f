import type { JobStep } from "../../jobs/job-step.js";
import type { PlacementTarget } from "../placement-target.js";

/** Penalty for a target without long-running tasks; each task of the same step on a target adds a penalty of 1. */
const newVmPenalty = 2;

/**
 * Score: how well a task uses the free capacity of a target. Long-running tasks go to targets that already run
 * long-running tasks, and spread over those, so that they keep few VMs from moving to other pools. Short tasks go to
 * the targets with the least free CPU, so that some target keeps enough free capacity for the largest task. Lower is
 * better.
 * @param step - the step
 * @param stepKey - encoded key of the step
 * @param target - the target
 * @returns the score, without a unit; comparable between targets
 */
export function computePackingPenalty(step: JobStep, stepKey: string, target: PlacementTarget): number {
    const freeShare = target.free.cpu / Math.max(1, target.record.capacity.cpu);
    if (!step.isLongRunning) {
        return freeShare;
    }
    const sameStepTasks = target.stepCounts.get(stepKey) ?? 0;
    return (target.hasServingTasks ? 0 : newVmPenalty) + sameStepTasks + 1 - freeShare;
}
