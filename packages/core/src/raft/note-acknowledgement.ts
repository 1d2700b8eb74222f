import { computeGrantedLease } from "./compute-granted-lease.js";
import type { PeerProgress } from "./peer-progress.js";
import type { RaftState } from "./raft-state.js";

/**
 * Takes note on the leader that a peer has acknowledged a message, and with it the lease.
 * @param state - Raft state of the leader
 * @param peer - replication progress of the peer
 * @param sentAt - when the message was sent, monotonic milliseconds
 * @param leaseMs - the lease that the peer has granted, milliseconds; 0 or `undefined` for the usual one
 */
export function noteAcknowledgement(state: RaftState, peer: PeerProgress, sentAt: number, leaseMs?: number): void {
    peer.ackedSentAt = Math.max(peer.ackedSentAt, sentAt);
    peer.leaseUntil = Math.max(peer.leaseUntil, sentAt + computeGrantedLease(state.timing, leaseMs));
    state.leaseSpan = undefined;
}
