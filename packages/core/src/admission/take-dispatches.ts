import { assertInvariant } from "../invariants/assert-invariant.js";
import { Invariant } from "../invariants/invariant.js";
import type { AdmissionState } from "./admission-state.js";
import type { Dispatch } from "./dispatch.js";
import { findOrCreatePool } from "./find-or-create-pool.js";
import { pickQueue } from "./pick-queue.js";
import { pickRequestTarget } from "./pick-request-target.js";
import type { PoolAdmission } from "./pool-admission.js";
import { removeWaitingRequest } from "./remove-waiting-request.js";
import type { TargetSlots } from "./target-slots.js";
import type { TeamQueue } from "./team-queue.js";
import type { WaitingRequest } from "./waiting-request.js";

/**
 * Starts as many waiting requests of a pool as the slots and the teams' limits allow.
 * @param state - the entry's admission state
 * @param poolName - name of the pool
 * @param now - monotonic milliseconds
 * @returns the started requests, each with its target
 * @throws InvariantViolation when a start would exceed the slots of a target or a team's limit
 */
export function takeDispatches(state: AdmissionState, poolName: string, now: number): Dispatch[] {
    const pool = findOrCreatePool(state, poolName);
    const dispatches: Dispatch[] = [];
    const skippedTeams = new Set<string>();
    for (;;) {
        const queue = pickQueue(state, pool, skippedTeams);
        const request = queue === undefined ? undefined : readNext(queue);
        if (queue === undefined || request === undefined) {
            return dispatches;
        }
        const target = pickRequestTarget(state, pool, request.avoid, now);
        if (target === undefined) {
            skippedTeams.add(queue.team);
            continue;
        }
        dispatches.push(startRequest(state, pool, queue, request, target, now));
    }
}

function readNext(queue: TeamQueue): WaitingRequest | undefined {
    for (const list of [queue.urgent, queue.normal]) {
        while (list[0]?.isRemoved === true) {
            list.shift();
        }
        if (list[0] !== undefined) {
            return list[0];
        }
    }
    return undefined;
}

function startRequest(
    state: AdmissionState,
    pool: PoolAdmission,
    queue: TeamQueue,
    request: WaitingRequest,
    target: TargetSlots,
    now: number,
): Dispatch {
    removeWaitingRequest(state, request);
    const limit = state.teams.get(request.team);
    assertInvariant(
        limit !== undefined && limit.inUse < limit.allowed,
        Invariant.LimitNotExceeded,
        () => `team ${request.team} would use ${(limit?.inUse ?? 0) + 1} of ${limit?.allowed ?? 0} units of its limit`,
    );
    if (limit !== undefined) {
        limit.inUse += 1;
    }
    target.inUse += 1;
    assertInvariant(
        target.inUse <= target.allowed,
        Invariant.SlotsNotExceeded,
        () => `${target.vm} would use ${target.inUse} of ${target.allowed} slots`,
    );
    queue.running += 1;
    const chargedMs = pool.meanServiceMs;
    addSlotTime(state, queue, chargedMs);
    return { request, target, startedAt: now, chargedMs };
}

function addSlotTime(state: AdmissionState, queue: TeamQueue, milliseconds: number): void {
    queue.localVirtualMs += milliseconds / (state.shares.get(queue.team) ?? 1);
    queue.unreportedMs += milliseconds;
}
