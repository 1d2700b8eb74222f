import { computeLeaseStart } from "./compute-lease-start.js";
import { RaftRole } from "./raft-role.js";
import type { RaftState } from "./raft-state.js";
import { readTerm } from "./read-term.js";

/**
 * Tells whether this keeper may decide alone: it leads, no other can have been elected, and its state holds
 * everything that earlier terms committed.
 * @param state - the keeper
 * @param now - monotonic milliseconds
 * @returns true while the lease is valid
 */
export function isLeaseValid(state: RaftState, now: number): boolean {
    if (state.role !== RaftRole.Leader || readTerm(state, state.appliedIndex) !== state.hard.term) {
        return false;
    }
    const leaseStart = computeLeaseStart(state, now);
    return leaseStart >= 0 && now < leaseStart + state.timing.leaseMs;
}
