import type { AdmissionState } from "./admission-state.js";
import type { PoolAdmission } from "./pool-admission.js";
import { QueuePolicy } from "./queue-policy.js";
import { readVirtualTime } from "./read-virtual-time.js";
import type { TeamQueue } from "./team-queue.js";

/** Slot time by which urgent work may run ahead of the other teams' accounts, milliseconds per share. */
const urgentCreditMs = 2_000;

/**
 * Picks the team whose request starts next: a team with urgent work that is not too far ahead of the others, otherwise
 * the one with the least slot time for its share. Teams at their upper limit are passed over.
 * @param state - the entry
 * @param pool - the pool
 * @param passedOver - teams that can't start anything now
 * @returns the queue, or `undefined` when none may start
 */
export function pickQueue(
    state: AdmissionState,
    pool: PoolAdmission,
    passedOver: ReadonlySet<string>,
): TeamQueue | undefined {
    let least: TeamQueue | undefined;
    let urgent: TeamQueue | undefined;
    let oldest: TeamQueue | undefined;
    for (const queue of pool.queues.values()) {
        if (queue.waiting === 0 || passedOver.has(queue.team) || !isBelowLimit(state, queue.team)) {
            continue;
        }
        least = pickLesser(least, queue);
        oldest = pickOlder(oldest, queue);
        if (isUrgentWaiting(queue)) {
            urgent = pickLesser(urgent, queue);
        }
    }
    if (state.policy.queue === QueuePolicy.FirstCome) {
        return oldest;
    }
    if (urgent === undefined || least === undefined) {
        return least;
    }
    return readVirtualTime(urgent) <= readVirtualTime(least) + urgentCreditMs ? urgent : least;
}

function pickLesser(best: TeamQueue | undefined, queue: TeamQueue): TeamQueue {
    return best === undefined || readVirtualTime(queue) < readVirtualTime(best) ? queue : best;
}

function pickOlder(best: TeamQueue | undefined, queue: TeamQueue): TeamQueue {
    return best === undefined || readOldest(queue) < readOldest(best) ? queue : best;
}

function readOldest(queue: TeamQueue): number {
    const first = queue.normal.find(request => !request.isRemoved) ?? queue.urgent.find(request => !request.isRemoved);
    return first?.enqueuedAt ?? Infinity;
}

function isBelowLimit(state: AdmissionState, team: string): boolean {
    const limit = state.teams.get(team);
    return limit !== undefined && limit.inUse < limit.allowed;
}

function isUrgentWaiting(queue: TeamQueue): boolean {
    while (queue.urgent[0]?.isRemoved === true) {
        queue.urgent.shift();
    }
    return queue.urgent.length > 0;
}
