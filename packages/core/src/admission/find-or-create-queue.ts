import type { PoolAdmission } from "./pool-admission.js";
import type { TeamQueue } from "./team-queue.js";

/**
 * Returns a team's queue for a pool. Creates it on first use.
 * @param pool - admission state of the pool
 * @param team - name of the team
 * @returns the queue
 */
export function findOrCreateQueue(pool: PoolAdmission, team: string): TeamQueue {
    let queue = pool.queues.get(team);
    if (queue === undefined) {
        queue = {
            team,
            urgent: [],
            normal: [],
            waiting: 0,
            running: 0,
            globalVirtualMs: 0,
            localVirtualMs: 0,
            unreportedMs: 0,
        };
        pool.queues.set(team, queue);
    }
    return queue;
}
