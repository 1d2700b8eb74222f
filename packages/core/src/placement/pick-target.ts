import type { JobStep } from "../jobs/job-step.js";
import type { TaskRecord } from "../jobs/task-record.js";
import { isAffinityKept } from "./filters/is-affinity-kept.js";
import { isLabelRight } from "./filters/is-label-right.js";
import { isRoomLeft } from "./filters/is-room-left.js";
import { isStartAllowed } from "./filters/is-start-allowed.js";
import { computeCrowding } from "./scores/compute-crowding.js";
import { computeDistance } from "./scores/compute-distance.js";
import { computeDisturbance } from "./scores/compute-disturbance.js";
import { computeRepetition } from "./scores/compute-repetition.js";
import type { TargetView } from "./target-view.js";

/**
 * Picks the target for one task: filters first, then scores, the earlier score before the later.
 * @param step - the step of the task
 * @param stepName - name of the step
 * @param task - the task, for where it failed before
 * @param targets - the targets of its pool
 * @returns the target, or `undefined` when none passes the filters
 */
export function pickTarget(
    step: JobStep,
    stepName: string,
    task: TaskRecord | undefined,
    targets: readonly TargetView[],
): TargetView | undefined {
    let best: TargetView | undefined;
    let bestScores: readonly number[] = [];
    for (const target of targets) {
        const isFit = isStartAllowed(target) && isRoomLeft(step, target) && isLabelRight(step, target)
            && isAffinityKept(step, stepName, target);
        if (!isFit) {
            continue;
        }
        const scores = [
            computeRepetition(task, target),
            computeDistance(step, target),
            computeDisturbance(step, target),
            computeCrowding(step, stepName, target),
        ];
        if (best === undefined || compareScores(scores, bestScores) < 0) {
            best = target;
            bestScores = scores;
        }
    }
    return best;
}

function compareScores(a: readonly number[], b: readonly number[]): number {
    const position = a.findIndex((score, index) => score !== b[index]);
    return position < 0 ? 0 : (a[position] ?? 0) - (b[position] ?? 0);
}
