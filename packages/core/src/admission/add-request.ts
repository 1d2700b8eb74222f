import { RefusalReason } from "../outcomes/refusal-reason.js";
import type { AdmissionState } from "./admission-state.js";
import { computeWaitEstimate } from "./compute-wait-estimate.js";
import { findOrCreatePool } from "./find-or-create-pool.js";
import { findOrCreateQueue } from "./find-or-create-queue.js";
import type { PoolAdmission } from "./pool-admission.js";
import type { Refusal } from "./refusal.js";
import { updateIdleVirtualTime } from "./update-idle-virtual-time.js";
import type { WaitingRequest } from "./waiting-request.js";

/** Maximum wait of a request while the entry has no slots in the pool, milliseconds. */
const maxWaitForSlotsMs = 2_000;
/** Minimum retry delay that is suggested to a refused caller, milliseconds. */
const minRetryAfterMs = 500;

/**
 * Time reserved before the deadline for the target's response, as a multiple of the mean service time. A request that
 * times out at its deadline wastes the slot time that it used.
 */
const reservedServiceTimes = 3;

/** A request to admit. */
interface AdmissionRequest {
    readonly pool: string;
    readonly team: string;
    readonly isUrgent: boolean;
    /** When the caller needs the response, monotonic milliseconds. */
    readonly deadlineAt: number;
    /** Maximum wait for a slot, milliseconds. */
    readonly maxQueueMs: number;
    /** VMs of targets that already failed this request; none by default. */
    readonly avoid?: ReadonlySet<string> | undefined;
}

/**
 * Adds a request to its team's queue. Refuses it at once when the entry's queues are full or when the estimated wait
 * ends after the latest start that leaves time for the response.
 * @param state - the entry's admission state
 * @param request - the request to admit
 * @param now - monotonic milliseconds
 * @returns the waiting request, or the refusal
 */
export function addRequest(
    state: AdmissionState,
    request: AdmissionRequest,
    now: number,
): { readonly accepted: WaitingRequest } | { readonly refused: Refusal } {
    const pool = findOrCreatePool(state, request.pool);
    const estimate = computeWaitEstimate(state, pool, request.team);
    const latestStart = computeLatestStart(pool, request, now);
    if (state.waiting >= state.maxWaiting || estimate.waitMs > latestStart - now) {
        const retryAfterMs = Math.max(minRetryAfterMs, Math.round(estimate.waitMs));
        return { refused: { reason: RefusalReason.Overloaded, retryAfterMs } };
    }
    const startBy = estimate.slots > 0 ? latestStart : Math.min(latestStart, now + maxWaitForSlotsMs);
    const waiting: WaitingRequest = {
        id: state.nextId++,
        pool: request.pool,
        team: request.team,
        isUrgent: request.isUrgent,
        enqueuedAt: now,
        startBy,
        avoid: request.avoid ?? new Set(),
        isRemoved: false,
    };
    const queue = findOrCreateQueue(pool, request.team);
    updateIdleVirtualTime(pool, queue);
    (request.isUrgent ? queue.urgent : queue.normal).push(waiting);
    queue.waiting += 1;
    state.waiting += 1;
    return { accepted: waiting };
}

/** Computes the latest start that leaves time for the target's response, monotonic milliseconds. */
function computeLatestStart(pool: PoolAdmission, request: AdmissionRequest, now: number): number {
    const reserveMs = reservedServiceTimes * pool.meanServiceMs;
    return Math.max(now, Math.min(now + request.maxQueueMs, request.deadlineAt - reserveMs));
}
