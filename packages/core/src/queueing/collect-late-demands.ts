import { computeUrgency } from "./compute-urgency.js";
import { readPool } from "./read-pool.js";
import type { StepCandidate } from "./step-candidate.js";
import { Urgency } from "./urgency.js";

/**
 * Collects what waiting tasks request that cannot be on time any more.
 * @param candidates - the steps that have tasks to start
 * @returns thousandths of a core by pool; a pool without such tasks has no entry
 */
export function collectLateDemands(candidates: readonly StepCandidate[]): ReadonlyMap<string, number> {
    const demands = new Map<string, number>();
    for (const step of candidates) {
        if (computeUrgency(step) === Urgency.Late) {
            const pool = readPool(step);
            demands.set(pool, (demands.get(pool) ?? 0) + step.waiting.length * step.definition.needs.cpu);
        }
    }
    return demands;
}
