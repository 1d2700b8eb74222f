import { RaftMessageKind } from "./raft-message-kind.js";
import type { RaftMessage } from "./raft-message.js";
import { RaftRole } from "./raft-role.js";
import type { RaftState } from "./raft-state.js";
import { readLastIndex } from "./read-last-index.js";
import { sendAppend } from "./send-append.js";
import { updateCommitIndex } from "./update-commit-index.js";

type AppendReply = Extract<RaftMessage, { kind: RaftMessageKind.AppendReply }>;

/**
 * Updates the replication progress of a peer, advances the commit index and sends the peer its missing entries.
 * @param state - Raft state of the leader
 * @param message - the peer's reply
 * @param now - monotonic milliseconds
 */
export function handleAppendReply(state: RaftState, message: AppendReply, now: number): void {
    const peer = state.peers.get(message.from);
    if (state.role !== RaftRole.Leader || message.term !== state.hard.term || peer === undefined) {
        return;
    }
    peer.ackedSentAt = Math.max(peer.ackedSentAt, message.sentAt);
    peer.isAppendInFlight = false;
    if (!message.isAccepted && message.index <= peer.matchIndex) {
        // Either the reply is outdated, or the disk of the peer lost entries that it had acknowledged. In the second
        // case, the peer rejects the next heartbeat as well.
        return;
    }
    if (!message.isAccepted) {
        peer.nextIndex = Math.min(message.index, readLastIndex(state) + 1);
        sendAppend(state, message.from, peer, now);
        return;
    }
    peer.matchIndex = Math.max(peer.matchIndex, message.index);
    peer.nextIndex = peer.matchIndex + 1;
    updateCommitIndex(state);
    if (peer.nextIndex <= readLastIndex(state)) {
        sendAppend(state, message.from, peer, now);
    }
}
