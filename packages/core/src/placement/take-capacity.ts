import { computeReservedResources } from "../fleet/compute-reserved-resources.js";
import type { StepCandidate } from "../queueing/step-candidate.js";
import { addResources } from "../resources/add-resources.js";
import { zeroResources } from "../resources/zero-resources.js";
import { encodeStepKey } from "./encode-step-key.js";
import type { PlacementRound } from "./placement-round.js";
import type { PlacementTarget } from "./placement-target.js";

/**
 * Takes the capacity for one task of a step from a target and the account of its job.
 * @param round - the round
 * @param candidate - the step
 * @param target - the target
 */
export function takeCapacity(
    { accountLoads }: Pick<PlacementRound, "accountLoads">,
    { job, occurrence, step, definition }: StepCandidate,
    target: PlacementTarget,
): void {
    const stepKey = encodeStepKey(job.id, occurrence, step);
    target.startsLeft -= 1;
    target.free = addResources(target.free, computeReservedResources(definition), -1);
    target.stepCounts.set(stepKey, (target.stepCounts.get(stepKey) ?? 0) + 1);
    target.hasServingTasks ||= definition.isLongRunning && !definition.isFiller;
    target.hasFillers ||= definition.isFiller;
    const running = accountLoads.get(job.account) ?? zeroResources;
    accountLoads.set(job.account, addResources(running, definition.needs));
}
