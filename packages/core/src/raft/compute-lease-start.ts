import type { RaftState } from "./raft-state.js";
import { readLeaseSpan } from "./read-lease-span.js";

/**
 * Computes the start of the leader lease: the latest time such that a quorum of voters has acknowledged a message that
 * the leader sent at that time or later.
 * @param state - Raft state of the leader
 * @param now - monotonic milliseconds
 * @returns monotonic milliseconds; -1 when no quorum has replied in this term or the leader is not a voter
 */
export function computeLeaseStart(state: RaftState, now: number): number {
    return Math.min(now, readLeaseSpan(state).start);
}
