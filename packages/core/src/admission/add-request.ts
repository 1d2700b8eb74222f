import { RefusalReason } from "../answers/refusal-reason.js";
import type { AdmissionState } from "./admission-state.js";
import { computeWait } from "./compute-wait.js";
import { openPool } from "./open-pool.js";
import { openQueue } from "./open-queue.js";
import type { Refusal } from "./refusal.js";
import { updateIdleQueue } from "./update-idle-queue.js";
import type { WaitingRequest } from "./waiting-request.js";

/** Longest time that a request waits for the first slots of its pool to arrive, milliseconds. */
const maxWaitForSlotsMs = 2_000;
/** Soonest time at which a refused caller is asked to come back, milliseconds. */
const minRetryAfterMs = 500;

/** A request that asks to start. */
interface AdmissionRequest {
    readonly pool: string;
    readonly team: string;
    readonly isUrgent: boolean;
    /** Latest useful start, monotonic milliseconds. */
    readonly startBy: number;
    readonly avoid?: ReadonlySet<string> | undefined;
}

/**
 * Takes a request into its team's queue, or refuses it at once when it could not start in time.
 * @param state - the entry
 * @param request - the request
 * @param now - monotonic milliseconds
 * @returns the waiting request, or the refusal
 */
export function addRequest(
    state: AdmissionState,
    request: AdmissionRequest,
    now: number,
): { readonly accepted: WaitingRequest } | { readonly refused: Refusal } {
    const pool = openPool(state, request.pool);
    const estimate = computeWait(state, pool, request.team);
    const patienceMs = request.startBy - now;
    if (state.waiting >= state.maxWaiting || estimate.waitMs > patienceMs) {
        const retryAfterMs = Math.max(minRetryAfterMs, Math.round(estimate.waitMs));
        return { refused: { reason: RefusalReason.Overloaded, retryAfterMs } };
    }
    const startBy = estimate.slots > 0 ? request.startBy : Math.min(request.startBy, now + maxWaitForSlotsMs);
    const waiting: WaitingRequest = {
        id: state.nextId++,
        pool: request.pool,
        team: request.team,
        isUrgent: request.isUrgent,
        enqueuedAt: now,
        startBy,
        avoid: request.avoid ?? new Set(),
        isSettled: false,
    };
    const queue = openQueue(pool, request.team);
    updateIdleQueue(pool, queue);
    (request.isUrgent ? queue.urgent : queue.normal).push(waiting);
    queue.waiting += 1;
    state.waiting += 1;
    return { accepted: waiting };
}
