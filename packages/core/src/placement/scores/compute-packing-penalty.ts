import type { JobStep } from "../../jobs/job-step.js";
import type { PlacementTarget } from "../placement-target.js";

/** Weight of tying one more VM to long-running tasks, in tasks of the same step on one target. */
const newVmPenalty = 2;

/**
 * Score: how the room on a target should be used. Long-running tasks join others of their kind, spread over
 * these, so that few VMs are tied to a pool; short tasks pack, so that room for the largest stays on some target. Lower is
 * better.
 * @param step - the step
 * @param stepName - its name
 * @param target - the target
 * @returns a figure without a unit, comparable between targets
 */
export function computePackingPenalty(step: JobStep, stepName: string, target: PlacementTarget): number {
    const freeShare = target.free.cpu / Math.max(1, target.record.capacity.cpu);
    if (!step.isLongRunning) {
        return freeShare;
    }
    const tasksThere = target.stepCounts.get(stepName) ?? 0;
    return (target.hasServingTasks ? 0 : newVmPenalty) + tasksThere + 1 - freeShare;
}
