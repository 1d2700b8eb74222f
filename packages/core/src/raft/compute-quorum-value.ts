import { isVoter } from "./is-voter.js";
import type { PeerProgress } from "./peer-progress.js";
import type { RaftState } from "./raft-state.js";

/**
 * Computes the highest value that a quorum of voters has reached. Called for each request, so that it allocates nothing.
 * @param state - Raft state of the leader
 * @param own - value of the leader itself
 * @param readValue - reads the value of a peer
 * @returns the value; -1 when no quorum has one or the leader is not a voter
 */
export function computeQuorumValue(state: RaftState, own: number, readValue: (peer: PeerProgress) => number): number {
    if (!isVoter(state, state.id)) {
        return -1;
    }
    let highest = -1;
    for (const id in state.members.voters) {
        const value = readVoter(state, id, own, readValue);
        if (value > highest && isQuorumAt(state, value, own, readValue)) {
            highest = value;
        }
    }
    return highest;
}

/** Tells whether more than half of the voters have reached a value. */
function isQuorumAt(
    state: RaftState,
    value: number,
    own: number,
    readValue: (peer: PeerProgress) => number,
): boolean {
    let below = 0;
    let reached = 0;
    for (const id in state.members.voters) {
        if (readVoter(state, id, own, readValue) >= value) {
            reached += 1;
        }
        else {
            below += 1;
        }
    }
    return reached > below;
}

function readVoter(state: RaftState, id: string, own: number, readValue: (peer: PeerProgress) => number): number {
    const peer = state.peers.get(id);
    return id === state.id ? own : peer === undefined ? -1 : readValue(peer);
}
