import { computeReservedResources } from "../fleet/compute-reserved-resources.js";
import type { StepCandidate } from "../queueing/step-candidate.js";
import { addResources } from "../resources/add-resources.js";
import { isWithin } from "../resources/is-within.js";
import type { Resources } from "../resources/resources.js";
import { zeroResources } from "../resources/zero-resources.js";
import type { PlacementRound } from "./placement-round.js";
import type { PlacementTarget } from "./placement-target.js";
import { planStep } from "./plan-step.js";

/**
 * Plans the start of a gang with a suspect, whose tasks can pass their probation only together, on targets where no other
 * run is on probation. Where it does not fit yet, targets are kept for it.
 * @param round - the round
 * @param candidate - the step of the gang
 */
export function planSuspectGang(round: PlacementRound, candidate: StepCandidate): void {
    const { waiting, definition } = candidate;
    const targets = round.listTargets(candidate).filter(({ isQuarantined }) => !isQuarantined);
    const startTargets = planStep(round, candidate, waiting, targets.filter(({ recentRuns }) => recentRuns === 0));
    const needs = computeReservedResources(definition);
    const gangNeeds = {
        cpu: needs.cpu * waiting.length,
        memory: needs.memory * waiting.length,
        gpu: needs.gpu * waiting.length,
    };
    const kept = startTargets.length > 0 ? startTargets : pickGangTargets(targets, gangNeeds);
    kept.forEach(target => {
        target.isQuarantined = true;
    });
}

/** Picks the fewest targets with the free capacity that a gang needs; none if all together have too little. */
function pickGangTargets(targets: readonly PlacementTarget[], needs: Resources): readonly PlacementTarget[] {
    const sorted = [...targets].sort((a, b) => a.recentRuns - b.recentRuns);
    let free = zeroResources;
    const position = sorted.findIndex(target => {
        free = addResources(free, target.free);
        return isWithin(needs, free);
    });
    return sorted.slice(0, position + 1);
}
