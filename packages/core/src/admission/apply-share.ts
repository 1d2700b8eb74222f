import type { AdmissionState } from "./admission-state.js";
import { openPool } from "./open-pool.js";
import { openQueue } from "./open-queue.js";

/**
 * Applies the leader's account of a team's slot time over all entries.
 * @param state - the entry
 * @param poolName - the pool
 * @param team - the team
 * @param virtualMs - slot time divided by the share, up to the report that the leader answers
 * @param reportedMs - slot time that this entry had reported up to then
 */
export function applyShare(
    state: AdmissionState,
    poolName: string,
    team: string,
    virtualMs: number,
    reportedMs: number,
): void {
    const queue = openQueue(openPool(state, poolName), team);
    queue.sharedVirtualMs = virtualMs;
    queue.unreportedMs -= reportedMs;
    queue.localVirtualMs = queue.unreportedMs / (state.shares.get(team) ?? 1);
}
