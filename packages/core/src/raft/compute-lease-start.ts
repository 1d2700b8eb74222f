import { isVoter } from "./is-voter.js";
import type { RaftState } from "./raft-state.js";

/**
 * Computes the start of the leader lease: the latest time such that a quorum of voters has acknowledged a message that
 * the leader sent at that time or later. Called for each request, so that it allocates nothing.
 * @param state - Raft state of the leader
 * @param now - monotonic milliseconds
 * @returns monotonic milliseconds; -1 when no quorum has replied in this term or the leader is not a voter
 */
export function computeLeaseStart(state: RaftState, now: number): number {
    if (!isVoter(state, state.id)) {
        return -1;
    }
    let start = -1;
    for (const id in state.members.voters) {
        const ackedAt = readAckedAt(state, id, now);
        if (ackedAt > start && isQuorumAcked(state, ackedAt, now)) {
            start = ackedAt;
        }
    }
    return start;
}

/** Tells whether more than half of the voters have acknowledged a message of this time or later. */
function isQuorumAcked(state: RaftState, ackedAt: number, now: number): boolean {
    let missing = 0;
    let acked = 0;
    for (const id in state.members.voters) {
        if (readAckedAt(state, id, now) >= ackedAt) {
            acked += 1;
        }
        else {
            missing += 1;
        }
    }
    return acked > missing;
}

function readAckedAt(state: RaftState, id: string, now: number): number {
    return id === state.id ? now : state.peers.get(id)?.ackedSentAt ?? -1;
}
