import type { PoolAdmission } from "./pool-admission.js";
import { readVirtualTime } from "./read-virtual-time.js";
import type { TeamQueue } from "./team-queue.js";

/**
 * Raises the virtual time of an idle team to the lowest virtual time among the teams with running or waiting requests,
 * so that a team does not accumulate credit while it is idle.
 * @param pool - admission state of the pool
 * @param queue - the queue to which a request is about to be added
 */
export function updateIdleVirtualTime(pool: PoolAdmission, queue: TeamQueue): void {
    if (queue.waiting > 0 || queue.running > 0) {
        return;
    }
    let lowest = Infinity;
    for (const other of pool.queues.values()) {
        if (other !== queue && (other.waiting > 0 || other.running > 0)) {
            lowest = Math.min(lowest, readVirtualTime(other));
        }
    }
    const gap = lowest - readVirtualTime(queue);
    if (Number.isFinite(gap) && gap > 0) {
        queue.localVirtualMs += gap;
    }
}
