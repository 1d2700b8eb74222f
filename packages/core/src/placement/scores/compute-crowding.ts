import type { JobStep } from "../../jobs/job-step.js";
import type { TargetView } from "../target-view.js";

/**
 * Score: how the room on a target should be used. Long-running tasks spread over targets, so that one failure takes few
 * of them; short tasks pack, so that room for the largest stays on some target. Lower is better.
 * @param step - the step
 * @param stepName - its name
 * @param target - the target
 * @returns a share of the target from 0 to 1, plus the tasks of the step that are there already
 */
export function computeCrowding(step: JobStep, stepName: string, target: TargetView): number {
    const freeShare = target.free.cpu / Math.max(1, target.record.capacity.cpu);
    return step.isLongRunning ? (target.stepCounts.get(stepName) ?? 0) + 1 - freeShare : freeShare;
}
