import { computeReservedResources } from "../fleet/compute-reserved-resources.js";
import type { FleetState } from "../fleet/fleet-state.js";
import { readPool } from "../queueing/read-pool.js";
import type { StepCandidate } from "../queueing/step-candidate.js";
import type { Resources } from "../resources/resources.js";
import { anyResources } from "./any-resources.js";

/**
 * Collects the capacity below which no target of a pool can run any waiting task, so that a round leaves out the full
 * targets. While there are suspects, full targets count too, as one may be kept for a suspect.
 * @param fleet - the fleet state
 * @param candidates - the steps that may start
 * @returns the least needs by pool, for each pool in which a step waits
 */
export function collectLeastNeeds(
    fleet: Pick<FleetState, "suspectTasks">,
    candidates: readonly StepCandidate[],
): Map<string, Resources> {
    const leastNeeds = new Map<string, Resources>();
    for (const candidate of candidates) {
        const pool = readPool(candidate);
        const least = leastNeeds.get(pool);
        if (fleet.suspectTasks.size > 0) {
            leastNeeds.set(pool, anyResources);
            continue;
        }
        const needs = computeReservedResources(candidate.definition);
        if (least === undefined) {
            leastNeeds.set(pool, needs);
        }
        else if (needs.cpu < least.cpu || needs.memory < least.memory || needs.gpu < least.gpu) {
            leastNeeds.set(pool, {
                cpu: Math.min(needs.cpu, least.cpu),
                memory: Math.min(needs.memory, least.memory),
                gpu: Math.min(needs.gpu, least.gpu),
            });
        }
    }
    return leastNeeds;
}
