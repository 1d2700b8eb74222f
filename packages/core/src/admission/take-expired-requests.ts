import type { AdmissionState } from "./admission-state.js";
import { removeWaitingRequest } from "./remove-waiting-request.js";
import type { WaitingRequest } from "./waiting-request.js";

/**
 * Removes the requests that can no longer start in time from the queues.
 * @param state - the entry's admission state
 * @param now - monotonic milliseconds
 * @returns the removed requests, which the caller has to refuse
 */
export function takeExpiredRequests(state: AdmissionState, now: number): WaitingRequest[] {
    const expired: WaitingRequest[] = [];
    for (const pool of state.pools.values()) {
        for (const queue of pool.queues.values()) {
            if (queue.waiting > 0) {
                collectExpired(queue.urgent, now, expired);
                collectExpired(queue.normal, now, expired);
            }
        }
    }
    for (const request of expired) {
        removeWaitingRequest(state, request);
    }
    return expired;
}

function collectExpired(list: WaitingRequest[], now: number, expired: WaitingRequest[]): void {
    for (const request of list) {
        if (!request.isRemoved && request.startBy <= now) {
            expired.push(request);
        }
    }
    while (list[0] !== undefined && (list[0].isRemoved || list[0].startBy <= now)) {
        list.shift();
    }
}
