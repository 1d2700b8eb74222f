import { computeReservedResources } from "../fleet/compute-reserved-resources.js";
import type { FleetState } from "../fleet/fleet-state.js";
import { readPool } from "../queueing/read-pool.js";
import type { StepCandidate } from "../queueing/step-candidate.js";
import { addResources } from "../resources/add-resources.js";
import { isWithin } from "../resources/is-within.js";
import { zeroResources } from "../resources/zero-resources.js";
import { readTargetsByPool } from "../targets/read-targets-by-pool.js";
import type { TargetRecord } from "../targets/target-record.js";
import { encodeStepKey } from "./encode-step-key.js";
import { isAntiAffinityMet } from "./filters/is-anti-affinity-met.js";
import { isCapacityLeft } from "./filters/is-capacity-left.js";
import { isLabelMatching } from "./filters/is-label-matching.js";
import { isStartAllowed } from "./filters/is-start-allowed.js";
import { isStartWithinCap } from "./is-start-within-cap.js";
import { isSuspect } from "./is-suspect.js";
import { parseStepKey } from "./parse-step-key.js";
import type { PlacementRefusal } from "./placement-refusal.js";
import type { PlacementTarget } from "./placement-target.js";

type TargetRefusal =
    | "unusable"
    | "noStartsLeft"
    | "quarantined"
    | "noCapacity"
    | "noLabel"
    | "spread"
    | "noTicket"
    | "fitting";

/**
 * Computes why the first waiting task of a step was not placed by a round.
 * @param fleet - the fleet state
 * @param candidate - the step
 * @param pools - the targets by pool as the round has left them
 * @param isAdvised - whether there is a ticket for a step and a target; for queues with a placement adviser
 * @returns the targets of the pool by the first filter that refuses them, and what holds the step as a whole
 */
export function computePlacementRefusal(
    fleet: FleetState,
    candidate: StepCandidate,
    pools: ReadonlyMap<string, readonly PlacementTarget[]>,
    isAdvised: (stepKey: string, target: string) => boolean,
): PlacementRefusal {
    const { job, occurrence, step, waiting } = candidate;
    const stepKey = encodeStepKey(job.id, occurrence, step);
    const pool = readPool(candidate);
    const views = pools.get(pool) ?? [];
    const targets = readTargetsByPool(fleet.targets).get(pool) ?? [];
    const viewsById = new Map(views.map(view => [view.record.id, view]));
    const refusals = targets.map(target => {
        const view = viewsById.get(target.id);
        return view === undefined
            ? computeLeftOutRefusal(fleet, candidate, target)
            : computeTargetRefusal(candidate, stepKey, view, isAdvised);
    });
    const countTargets = (refusal: TargetRefusal): number => refusals.filter(other => other === refusal).length;
    return {
        targets: targets.length,
        unusable: countTargets("unusable"),
        noStartsLeft: countTargets("noStartsLeft"),
        quarantined: countTargets("quarantined"),
        noCapacity: countTargets("noCapacity"),
        noLabel: countTargets("noLabel"),
        spread: countTargets("spread"),
        noTicket: countTargets("noTicket"),
        fitting: countTargets("fitting"),
        suspect: isSuspect(candidate, waiting[0] ?? 0),
        stepHeld: [...fleet.suspectTasks].some(task => parseStepKey(task) === stepKey),
        accountFull: !isStartWithinCap({ fleet, accountLoads: fleet.accountLoads }, candidate),
    };
}

/** The round leaves out full targets as well as those that are not usable. */
function computeLeftOutRefusal(
    fleet: FleetState,
    { definition }: StepCandidate,
    { id, capacity }: TargetRecord,
): TargetRefusal {
    const free = addResources(capacity, fleet.targetLoads.get(id)?.used ?? zeroResources, -1);
    return isWithin(computeReservedResources(definition), free) ? "unusable" : "noCapacity";
}

function computeTargetRefusal(
    { definition, queue }: StepCandidate,
    stepKey: string,
    target: PlacementTarget,
    isAdvised: (stepKey: string, target: string) => boolean,
): TargetRefusal {
    if (!isStartAllowed(target)) {
        return target.isQuarantined ? "quarantined" : "noStartsLeft";
    }
    if (!isCapacityLeft(definition, target)) {
        return "noCapacity";
    }
    if (!isLabelMatching(definition, target)) {
        return "noLabel";
    }
    if (!isAntiAffinityMet(definition, stepKey, target)) {
        return "spread";
    }
    return queue?.advice !== undefined && !isAdvised(stepKey, target.record.id) ? "noTicket" : "fitting";
}
