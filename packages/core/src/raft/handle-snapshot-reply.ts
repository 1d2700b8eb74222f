import { confirmMatch } from "./confirm-match.js";
import { dropLostMessages } from "./drop-lost-messages.js";
import { noteAcknowledgement } from "./note-acknowledgement.js";
import { RaftMessageKind } from "./raft-message-kind.js";
import type { RaftMessage } from "./raft-message.js";
import { RaftRole } from "./raft-role.js";
import type { RaftState } from "./raft-state.js";
import { sendAppend } from "./send-append.js";
import { updateCommitIndex } from "./update-commit-index.js";

type SnapshotReply = Extract<RaftMessage, { kind: RaftMessageKind.SnapshotReply }>;

/**
 * Sends the next chunk of the snapshot, or the log entries after the snapshot once the peer has installed it.
 * @param state - Raft state of the leader
 * @param message - how much of the snapshot the peer has received
 * @param now - monotonic milliseconds
 */
export function handleSnapshotReply(state: RaftState, message: SnapshotReply, now: number): void {
    const peer = state.peers.get(message.from);
    if (state.role !== RaftRole.Leader || message.term !== state.hard.term || peer === undefined) {
        return;
    }
    noteAcknowledgement(state, peer, message.sentAt);
    if (message.isInstalled) {
        peer.snapshotOffset = undefined;
        peer.chunkSentAt = undefined;
        confirmMatch(peer, message.snapshotIndex);
        updateCommitIndex(state);
    }
    else if (peer.snapshotOffset !== undefined && message.sentAt === peer.chunkSentAt) {
        peer.chunkSentAt = undefined;
        peer.snapshotOffset = message.snapshotIndex === state.snapshot.index ? message.offset : 0;
    }
    dropLostMessages(state, peer, message.sentAt);
    sendAppend(state, message.from, peer, now);
}
