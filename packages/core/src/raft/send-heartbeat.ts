import type { PeerProgress } from "./peer-progress.js";
import { RaftMessageKind } from "./raft-message-kind.js";
import type { RaftState } from "./raft-state.js";
import { readTerm } from "./read-term.js";

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
    state.outbox.push({
        kind: RaftMessageKind.Append,
        from: state.id,
        to,
        term: state.hard.term,
        previousIndex,
        previousTerm: readTerm(state, previousIndex) ?? 0,
        entries: [],
        commitIndex: state.commitIndex,
        sentAt: now,
    });
}
