import { RaftMessageKind } from "./raft-message-kind.js";
import { RaftRole } from "./raft-role.js";
import type { RaftState } from "./raft-state.js";
import { readLastIndex } from "./read-last-index.js";
import { startFollowing } from "./start-following.js";

/**
 * Transfers leadership to a voter that has the complete log (Ongaro's thesis, 3.10). The leader releases its lease
 * before the successor starts its election, so that the voters need not wait for the lease to expire.
 * @param state - Raft state of the leader
 * @param now - monotonic milliseconds
 * @returns id of the successor; `undefined` when this keeper is not the leader, or when no voter with the complete log
 *     has replied within the minimum election timeout
 */
export function startLeadershipTransfer(state: RaftState, now: number): string | undefined {
    if (state.role !== RaftRole.Leader) {
        return undefined;
    }
    const lastIndex = readLastIndex(state);
    const successor = Object.keys(state.members.voters).find(id => {
        const peer = state.peers.get(id);
        return peer !== undefined && peer.matchIndex === lastIndex
            && now - peer.ackedSentAt < state.timing.minElectionTimeoutMs;
    });
    if (successor === undefined) {
        return undefined;
    }
    state.outbox.push({
        kind: RaftMessageKind.TimeoutNow,
        from: state.id,
        to: successor,
        term: state.hard.term,
    });
    startFollowing(state, state.hard.term, undefined, now);
    return successor;
}
