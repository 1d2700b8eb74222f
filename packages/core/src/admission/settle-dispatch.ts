import type { AdmissionState } from "./admission-state.js";
import type { Dispatch } from "./dispatch.js";
import { findOrCreatePool } from "./find-or-create-pool.js";
import { findOrCreateQueue } from "./find-or-create-queue.js";

/** Weight of a new sample in the moving average of the service time. */
const serviceTimeWeight = 0.05;

/**
 * Ends a started request: corrects the charged slot time and releases its slot and its unit of the upper limit.
 * @param state - the entry's admission state
 * @param dispatch - the started request
 * @param isStillRunning - whether the target may still run it; the slot and the unit then stay in use until
 * releaseAbandonedRequest
 * @param now - monotonic milliseconds
 */
export function settleDispatch(state: AdmissionState, dispatch: Dispatch, isStillRunning: boolean, now: number): void {
    const { request, target } = dispatch;
    const pool = findOrCreatePool(state, request.pool);
    const queue = findOrCreateQueue(pool, request.team);
    const usedMs = now - dispatch.startedAt;
    const correctionMs = usedMs - dispatch.chargedMs;
    queue.localVirtualMs += correctionMs / (state.shares.get(request.team) ?? 1);
    queue.unreportedMs += correctionMs;
    queue.running -= 1;
    pool.meanServiceMs += serviceTimeWeight * (usedMs - pool.meanServiceMs);
    if (!isStillRunning) {
        target.inUse -= 1;
        releaseLimit(state, request.team);
    }
}

function releaseLimit(state: AdmissionState, team: string): void {
    const limit = state.teams.get(team);
    if (limit !== undefined) {
        limit.inUse -= 1;
    }
}
