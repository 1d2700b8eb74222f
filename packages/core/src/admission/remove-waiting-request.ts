import type { AdmissionState } from "./admission-state.js";
import type { WaitingRequest } from "./waiting-request.js";

/**
 * Marks a request as no longer waiting. It stays in the queue's array until it reaches the front.
 * @param state - the entry's admission state
 * @param request - the request to remove
 * @returns false when the request was no longer waiting
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
