import type { AdmissionState } from "./admission-state.js";
import { findOrCreatePool } from "./find-or-create-pool.js";
import { findOrCreateQueue } from "./find-or-create-queue.js";

/**
 * Applies the leader's total of a team's slot time over all entries.
 * @param state - the entry's admission state
 * @param poolName - name of the pool
 * @param team - name of the team
 * @param virtualMs - slot time divided by the share, including the acknowledged report, milliseconds
 * @param reportedMs - slot time of this entry that the acknowledged report contained, milliseconds
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
