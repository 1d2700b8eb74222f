import type { PeerProgress } from "./peer-progress.js";
import type { RaftState } from "./raft-state.js";

/**
 * Computes the highest value that a quorum of voters has reached. The leader itself has reached any.
 * @param state - Raft state of the leader
 * @param readValue - reads the value of a peer
 * @returns the value; -1 when no quorum has one or the leader is not a voter, infinity when it is the only one
 */
export function computeQuorumValue(state: RaftState, readValue: (peer: PeerProgress) => number): number {
    const ids = Object.keys(state.members.voters);
    if (!ids.includes(state.id)) {
        return -1;
    }
    const highestFirst = ids.map(id => {
        const peer = state.peers.get(id);
        return id === state.id ? Infinity : peer === undefined ? -1 : readValue(peer);
    }).sort((a, b) => b - a);
    return highestFirst[Math.floor(ids.length / 2)] ?? -1;
}
