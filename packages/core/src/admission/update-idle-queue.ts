import type { PoolAdmission } from "./pool-admission.js";
import { readVirtualTime } from "./read-virtual-time.js";
import type { TeamQueue } from "./team-queue.js";

/**
 * Moves the account of a team that had no work up to the least account among the teams with work, so that idle time
 * earns no credit.
 * @param pool - the pool
 * @param queue - the queue that is about to get work
 */
export function updateIdleQueue(pool: PoolAdmission, queue: TeamQueue): void {
    if (queue.waiting > 0 || queue.running > 0) {
        return;
    }
    let least = Infinity;
    for (const other of pool.queues.values()) {
        if (other !== queue && (other.waiting > 0 || other.running > 0)) {
            least = Math.min(least, readVirtualTime(other));
        }
    }
    const gap = least - readVirtualTime(queue);
    if (Number.isFinite(gap) && gap > 0) {
        queue.localVirtualMs += gap;
    }
}
