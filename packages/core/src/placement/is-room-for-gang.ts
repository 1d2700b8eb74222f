import { computeReservedResources } from "../fleet/compute-reserved-resources.js";
import { isWithinAccountCap } from "../fleet/is-within-account-cap.js";
import type { JobStep } from "../jobs/job-step.js";
import type { StepCandidate } from "../queueing/step-candidate.js";
import { addResources } from "../resources/add-resources.js";
import { zeroResources } from "../resources/zero-resources.js";
import { isLabelMatching } from "./filters/is-label-matching.js";
import { isStartAllowed } from "./filters/is-start-allowed.js";
import type { PlacementRound } from "./placement-round.js";
import type { PlacementTarget } from "./placement-target.js";

/**
 * Tells whether all tasks of a gang may fit at once, by the number of tasks that each target can take. Keeps a round from
 * placing a large gang task by task only to take it back.
 * @param round - the round
 * @param candidate - the step of the gang
 * @param stepKey - encoded key of the step
 * @param targets - the targets on which it may start
 * @returns false when the gang does not fit
 */
export function isRoomForGang(
    round: PlacementRound,
    { job, definition }: StepCandidate,
    stepKey: string,
    targets: readonly PlacementTarget[],
): boolean {
    const { cpu, memory, gpu } = definition.needs;
    const { count } = definition;
    const needs = { cpu: count * cpu, memory: count * memory, gpu: count * gpu };
    const load = addResources(round.accountLoads.get(job.account) ?? zeroResources, needs);
    if (!isWithinAccountCap(round.fleet, job.account, load)) {
        return false;
    }
    let places = 0;
    for (const target of targets) {
        places += countPlaces(definition, stepKey, target);
        if (places >= count) {
            return true;
        }
    }
    return false;
}

/** Counts the tasks of a step that a target can take. */
function countPlaces(step: JobStep, stepKey: string, target: PlacementTarget): number {
    if (!isStartAllowed(target) || !isLabelMatching(step, target)) {
        return 0;
    }
    const { cpu, memory, gpu } = computeReservedResources(step);
    const { free } = target;
    return Math.max(
        0,
        Math.min(
            Math.floor(target.startsLeft),
            step.maxPerTarget === 0 ? Infinity : step.maxPerTarget - (target.stepCounts.get(stepKey) ?? 0),
            cpu === 0 ? Infinity : Math.floor(free.cpu / cpu),
            memory === 0 ? Infinity : Math.floor(free.memory / memory),
            gpu === 0 ? Infinity : Math.floor(free.gpu / gpu),
        ),
    );
}
