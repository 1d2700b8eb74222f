import type { AdmissionState } from "./admission-state.js";
import type { Dispatch } from "./dispatch.js";
import { findOrCreatePool } from "./find-or-create-pool.js";
import { findOrCreateQueue } from "./find-or-create-queue.js";

const serviceTimeWeight = 0.05;

/**
 * Ends a started request: corrects the charged slot time and frees the slot.
 * @param state - the entry
 * @param dispatch - the started request
 * @param isStillRunning - true when the target may still be running it; its unit of the upper limit then stays in use
 * until releaseTeamUnit
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
