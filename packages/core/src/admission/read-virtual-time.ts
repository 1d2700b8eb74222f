import type { TeamQueue } from "./team-queue.js";

/**
 * Reads a team's slot time divided by its share.
 * @param queue - the team's queue
 * @returns milliseconds
 */
export function readVirtualTime(queue: TeamQueue): number {
    return queue.globalVirtualMs + queue.localVirtualMs;
}
