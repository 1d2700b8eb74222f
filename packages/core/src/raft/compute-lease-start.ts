import { isVoter } from "./is-voter.js";
import type { RaftState } from "./raft-state.js";

/**
 * Computes the start of the leader lease: the latest time such that a quorum of voters has acknowledged a message that
 * the leader sent at that time or later.
 * @param state - Raft state of the leader
 * @param now - monotonic milliseconds
 * @returns monotonic milliseconds; -1 when no quorum has replied in this term or the leader is not a voter
 */
export function computeLeaseStart(state: RaftState, now: number): number {
    const ackTimes = Object.keys(state.members.voters).map(id =>
        id === state.id ? now : state.peers.get(id)?.ackedSentAt ?? -1
    );
    if (!isVoter(state, state.id)) {
        return -1;
    }
    ackTimes.sort((a, b) => b - a);
    return ackTimes[Math.floor(ackTimes.length / 2)] ?? -1;
}
