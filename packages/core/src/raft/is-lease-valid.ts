import { computeLeaseStart } from "./compute-lease-start.js";
import { RaftRole } from "./raft-role.js";
import type { RaftState } from "./raft-state.js";
import { readLeaseSpan } from "./read-lease-span.js";
import { readTerm } from "./read-term.js";

/**
 * Checks the leader lease. While it is valid, this keeper is the leader, no other keeper can have been elected, and the
 * applied state includes everything that was committed in earlier terms.
 * @param state - Raft state of the keeper
 * @param now - monotonic milliseconds
 * @param resumedAt - end of the last suspension of the machine, monotonic milliseconds; the lease must have begun later
 * @returns true while the lease is valid
 */
export function isLeaseValid(state: RaftState, now: number, resumedAt = -1): boolean {
    if (state.role !== RaftRole.Leader || readTerm(state, state.appliedIndex) !== state.hard.term) {
        return false;
    }
    return now < readLeaseSpan(state).end && computeLeaseStart(state, now) > resumedAt;
}
