import type { AdmissionState } from "./admission-state.js";
import { findOrCreatePool } from "./find-or-create-pool.js";
import { findOrCreateQueue } from "./find-or-create-queue.js";

/**
 * Applies the leader's account of a team's slot time over all entries.
 * @param state - the entry
 * @param poolName - the pool
 * @param team - the team
 * @param virtualMs - slot time divided by the share, up to the report that the leader answers
 * @param reportedMs - slot time that this entry had reported up to then
 */
export function applyVirtualTime(
    state: AdmissionState,
    poolName: string,
    team: string,
    virtualMs: number,
    reportedMs: number,
): void {
    const queue = findOrCreateQueue(findOrCreatePool(state, poolName), team);
    queue.globalVirtualMs = virtualMs;
    queue.unreportedMs -= reportedMs;
    queue.localVirtualMs = queue.unreportedMs / (state.shares.get(team) ?? 1);
}
