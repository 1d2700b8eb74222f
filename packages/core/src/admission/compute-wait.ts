import type { AdmissionState } from "./admission-state.js";
import type { Estimate } from "./estimate.js";
import type { PoolAdmission } from "./pool-admission.js";
import { readAllowedSlots } from "./read-allowed-slots.js";

/**
 * Computes how long a new request of a team would wait, from the requests ahead of it and the part of the pool's slots
 * that the team gets while all other teams with work take theirs.
 * @param state - the entry
 * @param pool - the pool
 * @param team - the team
 * @returns the estimate
 */
export function computeWait(state: AdmissionState, pool: PoolAdmission, team: string): Estimate {
    const poolSlots = readAllowedSlots(state, pool);
    const limit = state.teams.get(team)?.allowed ?? 0;
    const slots = Math.min(poolSlots * computeFraction(state, pool, team), limit);
    const ahead = pool.queues.get(team)?.waiting ?? 0;
    if (slots <= 0) {
        return { waitMs: 0, slots: 0 };
    }
    return { waitMs: ahead * pool.meanServiceMs / slots, slots };
}

function computeFraction(state: AdmissionState, pool: PoolAdmission, team: string): number {
    const own = state.shares.get(team) ?? 1;
    let total = own;
    for (const queue of pool.queues.values()) {
        if (queue.team !== team && queue.waiting > 0) {
            total += state.shares.get(queue.team) ?? 1;
        }
    }
    return own / total;
}
