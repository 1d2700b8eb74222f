import type { PeerProgress } from "./peer-progress.js";
import type { RaftState } from "./raft-state.js";

/**
 * Schedules the entries or the snapshot chunk in flight to be sent again when the peer has answered a message that was
 * sent a heartbeat interval or more after them (as RACK-TLP detects losses, RFC 8985). The criterion needs no estimate
 * of the response time, so slow replies cause no retransmission, and a peer that does not answer gets heartbeats only.
 * @param state - Raft state of the leader
 * @param peer - replication progress of the peer
 * @param answeredSentAt - send time of the message that the peer has answered, monotonic milliseconds
 */
export function dropLostMessages(state: RaftState, peer: PeerProgress, answeredSentAt: number): void {
    const sentBefore = answeredSentAt - state.timing.heartbeatIntervalMs;
    if (peer.chunkSentAt !== undefined && peer.chunkSentAt <= sentBefore) {
        peer.chunkSentAt = undefined;
    }
    const [oldest] = peer.inFlightAppends;
    if (oldest !== undefined && oldest.sentAt <= sentBefore) {
        peer.inFlightAppends = [];
        peer.nextIndex = Math.max(oldest.previousIndex, peer.matchIndex) + 1;
        peer.isProbing = true;
    }
}
