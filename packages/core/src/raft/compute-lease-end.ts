import { computeQuorumValue } from "./compute-quorum-value.js";
import type { PeerProgress } from "./peer-progress.js";
import type { RaftState } from "./raft-state.js";

/**
 * Computes the end of the leader lease: the latest time up to which a quorum of voters has granted it.
 * @param state - Raft state of the leader
 * @returns monotonic milliseconds; -1 when no quorum has replied in this term or the leader is not a voter
 */
export function computeLeaseEnd(state: RaftState): number {
    return computeQuorumValue(state, Infinity, readLeaseUntil);
}

function readLeaseUntil({ leaseUntil }: PeerProgress): number {
    return leaseUntil;
}
