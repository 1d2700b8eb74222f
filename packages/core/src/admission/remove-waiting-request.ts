import type { AdmissionState } from "./admission-state.js";
import type { WaitingRequest } from "./waiting-request.js";

/**
 * Ends the wait of a request, whatever the cause.
 * @param state - the entry
 * @param request - the request
 * @returns false when it no longer waited
 */
export function removeWaitingRequest(state: AdmissionState, request: WaitingRequest): boolean {
    if (request.isRemoved) {
        return false;
    }
    request.isRemoved = true;
    state.waiting -= 1;
    const queue = state.pools.get(request.pool)?.queues.get(request.team);
    if (queue !== undefined) {
        queue.waiting -= 1;
    }
    return true;
}
