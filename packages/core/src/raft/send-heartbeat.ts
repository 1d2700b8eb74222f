import { addAppendMessage } from "./add-append-message.js";
import type { PeerProgress } from "./peer-progress.js";
import type { RaftState } from "./raft-state.js";

/**
 * Sends a peer an append without entries at a position that its log is known to match; while probing, at the position
 * that is being probed.
 * @param state - Raft state of the leader
 * @param to - id of the peer
 * @param peer - its replication progress
 * @param now - monotonic milliseconds
 */
export function sendHeartbeat(state: RaftState, to: string, peer: PeerProgress, now: number): void {
    const probedIndex = peer.inFlightAppends[0]?.previousIndex ?? peer.nextIndex - 1;
    const previousIndex = Math.max(peer.isProbing ? probedIndex : peer.matchIndex, state.base.index);
    addAppendMessage(state, to, previousIndex, [], now);
}
