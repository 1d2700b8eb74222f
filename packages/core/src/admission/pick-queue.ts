import type { AdmissionState } from "./admission-state.js";
import type { PoolAdmission } from "./pool-admission.js";
import { QueuePolicy } from "./queue-policy.js";
import { readVirtualTime } from "./read-virtual-time.js";
import type { TeamQueue } from "./team-queue.js";

/** Virtual time by which a team may be ahead of the others while its urgent requests are preferred, milliseconds. */
const urgentCreditMs = 2_000;

/**
 * Picks the queue whose request starts next: that of the team with the lowest virtual time. Teams with urgent requests
 * are preferred as long as their virtual time is at most `urgentCreditMs` above the lowest. Teams at their upper limit
 * are skipped. With the first-come policy, picks the queue with the oldest request.
 * @param state - the entry's admission state
 * @param pool - admission state of the pool
 * @param skippedTeams - teams for which no target is available now
 * @returns the queue, or `undefined` when no request may start
 */
export function pickQueue(
    state: AdmissionState,
    pool: PoolAdmission,
    skippedTeams: ReadonlySet<string>,
): TeamQueue | undefined {
    let lowest: TeamQueue | undefined;
    let urgent: TeamQueue | undefined;
    let oldest: TeamQueue | undefined;
    for (const queue of pool.queues.values()) {
        if (queue.waiting === 0 || skippedTeams.has(queue.team) || !isBelowLimit(state, queue.team)) {
            continue;
        }
        lowest = pickLowerVirtualTime(lowest, queue);
        oldest = pickOlder(oldest, queue);
        if (isUrgentWaiting(queue)) {
            urgent = pickLowerVirtualTime(urgent, queue);
        }
    }
    if (state.policy.queue === QueuePolicy.FirstCome) {
        return oldest;
    }
    if (urgent === undefined || lowest === undefined) {
        return lowest;
    }
    return readVirtualTime(urgent) <= readVirtualTime(lowest) + urgentCreditMs ? urgent : lowest;
}

function pickLowerVirtualTime(best: TeamQueue | undefined, queue: TeamQueue): TeamQueue {
    return best === undefined || readVirtualTime(queue) < readVirtualTime(best) ? queue : best;
}

function pickOlder(best: TeamQueue | undefined, queue: TeamQueue): TeamQueue {
    return best === undefined || readOldest(queue) < readOldest(best) ? queue : best;
}

/** Reads when the oldest normal request was queued, or the oldest urgent one when no normal request is waiting. */
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
