import type { AdmissionState } from "./admission-state.js";
import { countAllowedSlots } from "./count-allowed-slots.js";
import type { PoolAdmission } from "./pool-admission.js";
import type { WaitEstimate } from "./wait-estimate.js";

/**
 * Estimates how long a new request of a team would wait: the number of its waiting requests times the mean service
 * time, divided by the slots that it gets by its share while all other teams with waiting requests use theirs.
 * @param state - the entry's admission state
 * @param pool - admission state of the pool
 * @param team - name of the team
 * @returns the estimate; 0 for both fields when the team has no slots
 */
export function computeWaitEstimate(state: AdmissionState, pool: PoolAdmission, team: string): WaitEstimate {
    const poolSlots = countAllowedSlots(state, pool);
    const limit = state.teams.get(team)?.allowed ?? 0;
    const slots = Math.min(poolSlots * computeShareFraction(state, pool, team), limit);
    const ahead = pool.queues.get(team)?.waiting ?? 0;
    if (slots <= 0) {
        return { waitMs: 0, slots: 0 };
    }
    return { waitMs: ahead * pool.meanServiceMs / slots, slots };
}

function computeShareFraction(state: AdmissionState, pool: PoolAdmission, team: string): number {
    const own = state.shares.get(team) ?? 1;
    let total = own;
    for (const queue of pool.queues.values()) {
        if (queue.team !== team && queue.waiting > 0) {
            total += state.shares.get(queue.team) ?? 1;
        }
    }
    return own / total;
}
