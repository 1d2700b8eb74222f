import type { TeamQueue } from "./team-queue.js";

/**
 * Reads a team's virtual time: its slot time over all entries divided by its share.
 * @param queue - the team's queue
 * @returns the virtual time, milliseconds
 */
export function readVirtualTime(queue: TeamQueue): number {
    return queue.globalVirtualMs + queue.localVirtualMs;
}
