import { computeGrantedLease } from "./compute-granted-lease.js";
import type { PeerProgress } from "./peer-progress.js";
import type { RaftTiming } from "./raft-timing.js";

/**
 * Takes note on the leader that a peer has acknowledged a message, and with it the lease.
 * @param timing - timing of the Raft protocol
 * @param peer - replication progress of the peer
 * @param sentAt - when the message was sent, monotonic milliseconds
 * @param leaseMs - the lease that the peer has granted, milliseconds; 0 or `undefined` for the usual one
 */
export function noteAcknowledgement(timing: RaftTiming, peer: PeerProgress, sentAt: number, leaseMs?: number): void {
    peer.ackedSentAt = Math.max(peer.ackedSentAt, sentAt);
    peer.leaseUntil = Math.max(peer.leaseUntil, sentAt + computeGrantedLease(timing, leaseMs));
}
