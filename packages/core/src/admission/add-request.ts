import { RefusalReason } from "../outcomes/refusal-reason.js";
import type { AdmissionState } from "./admission-state.js";
import { computeWaitEstimate } from "./compute-wait-estimate.js";
import { findOrCreatePool } from "./find-or-create-pool.js";
import { findOrCreateQueue } from "./find-or-create-queue.js";
import type { PoolAdmission } from "./pool-admission.js";
import type { Refusal } from "./refusal.js";
import { updateIdleQueue } from "./update-idle-queue.js";
import type { WaitingRequest } from "./waiting-request.js";

/** Longest time that a request waits for the first slots of its pool to arrive, milliseconds. */
const maxWaitForSlotsMs = 2_000;
/** Soonest time at which a refused caller is asked to come back, milliseconds. */
const minRetryAfterMs = 500;

/** Mean service times kept free before the deadline: a request cut off at its deadline holds its slot in vain. */
const reservedServiceTimes = 3;

/** A request that asks to start. */
interface AdmissionRequest {
    readonly pool: string;
    readonly team: string;
    readonly isUrgent: boolean;
    /** When the caller wants the answer, monotonic milliseconds. */
    readonly deadlineAt: number;
    /** Longest wait for a slot, milliseconds. */
    readonly maxQueueMs: number;
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
    updateIdleQueue(pool, queue);
    (request.isUrgent ? queue.urgent : queue.normal).push(waiting);
    queue.waiting += 1;
    state.waiting += 1;
    return { accepted: waiting };
}

/** The latest start that leaves time for the target's answer. */
function computeLatestStart(pool: PoolAdmission, request: AdmissionRequest, now: number): number {
    const reserveMs = reservedServiceTimes * pool.meanServiceMs;
    return Math.max(now, Math.min(now + request.maxQueueMs, request.deadlineAt - reserveMs));
}
