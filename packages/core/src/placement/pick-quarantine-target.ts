import { computeReservedResources } from "../fleet/compute-reserved-resources.js";
import type { JobStep } from "../jobs/job-step.js";
import type { TaskRecord } from "../jobs/task-record.js";
import { isWithin } from "../resources/is-within.js";
import { compareScores } from "./compare-scores.js";
import { isAntiAffinityMet } from "./filters/is-anti-affinity-met.js";
import { isLabelMatching } from "./filters/is-label-matching.js";
import { isStartAllowed } from "./filters/is-start-allowed.js";
import type { PlacementTarget } from "./placement-target.js";

/**
 * Picks the target that is kept for the next run of a suspect. It may be busy: once no other task starts there, it
 * becomes ready for the suspect. A VM on which the task has not crashed a target is preferred, as only a second VM tells
 * whether the task or the VM is the cause; then the target that is ready first and where a crash costs least.
 * @param step - the step of the task
 * @param stepKey - encoded key of the step
 * @param task - the record of the task
 * @param targets - the targets of its pool
 * @returns the target, or `undefined` when the task fits on none of those that are not in quarantine
 */
export function pickQuarantineTarget(
    step: JobStep,
    stepKey: string,
    task: TaskRecord,
    targets: readonly PlacementTarget[],
): PlacementTarget | undefined {
    const needs = computeReservedResources(step);
    const fitting = targets.filter(target =>
        isStartAllowed(target) && isLabelMatching(step, target) && isAntiAffinityMet(step, stepKey, target)
        && isWithin(needs, target.record.capacity)
    );
    const computeScores = (target: PlacementTarget): readonly number[] => [
        task.crashes?.vms.includes(target.record.vm) === true ? 1 : 0,
        isWithin(needs, target.free) ? 0 : 1,
        target.recentRuns,
        countTasks(target),
    ];
    return fitting.map(target => ({ target, scores: computeScores(target) }))
        .reduce<{ target: PlacementTarget; scores: readonly number[] } | undefined>(
            (best, next) => best === undefined || compareScores(next.scores, best.scores) < 0 ? next : best,
            undefined,
        )?.target;
}

function countTasks({ stepCounts }: PlacementTarget): number {
    return [...stepCounts.values()].reduce((sum, count) => sum + count, 0);
}
