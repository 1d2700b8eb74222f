import { computeQuorumValue } from "./compute-quorum-value.js";
import type { LeaseSpan } from "./lease-span.js";
import type { PeerProgress } from "./peer-progress.js";
import type { RaftState } from "./raft-state.js";

/**
 * Reads start and end of the leader lease. They are computed once for each reply of a peer and each change of members, as
 * every request checks the lease.
 * @param state - Raft state of the leader
 * @returns the span
 */
export function readLeaseSpan(state: RaftState): LeaseSpan {
    state.leaseSpan ??= {
        start: computeQuorumValue(state, readAckedSentAt),
        end: computeQuorumValue(state, readLeaseUntil),
    };
    return state.leaseSpan;
}

function readAckedSentAt({ ackedSentAt }: PeerProgress): number {
    return ackedSentAt;
}

function readLeaseUntil({ leaseUntil }: PeerProgress): number {
    return leaseUntil;
}
