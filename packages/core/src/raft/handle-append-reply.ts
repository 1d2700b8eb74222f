import { confirmMatch } from "./confirm-match.js";
import { dropLostMessages } from "./drop-lost-messages.js";
import { noteAcknowledgement } from "./note-acknowledgement.js";
import type { PeerProgress } from "./peer-progress.js";
import { RaftMessageKind } from "./raft-message-kind.js";
import type { RaftMessage } from "./raft-message.js";
import { RaftRole } from "./raft-role.js";
import type { RaftState } from "./raft-state.js";
import { readLastIndex } from "./read-last-index.js";
import { sendAppend } from "./send-append.js";
import { updateCommitIndex } from "./update-commit-index.js";

type AppendReply = Extract<RaftMessage, { kind: RaftMessageKind.AppendReply }>;

/**
 * Updates the replication progress of a peer, advances the commit index and sends the peer its unsent entries.
 * @param state - Raft state of the leader
 * @param message - the peer's reply
 * @param now - monotonic milliseconds
 */
export function handleAppendReply(state: RaftState, message: AppendReply, now: number): void {
    const peer = state.peers.get(message.from);
    if (state.role !== RaftRole.Leader || message.term !== state.hard.term || peer === undefined) {
        return;
    }
    noteAcknowledgement(state, peer, message.sentAt, message.leaseMs);
    if (message.isAccepted) {
        confirmMatch(peer, message.index);
        updateCommitIndex(state);
    }
    else if (peer.snapshotOffset === undefined && !settleRejection(state, peer, message)) {
        return;
    }
    dropLostMessages(state, peer, message.sentAt);
    sendAppend(state, message.from, peer, now);
}

/**
 * Schedules the rejected entries and those after them to be sent again. Returns false when the peer rejects a position
 * that it had acknowledged: either the reply is outdated, or the disk of the peer lost entries.
 */
function settleRejection(state: RaftState, peer: PeerProgress, message: AppendReply): boolean {
    const position = peer.inFlightAppends.findIndex(append => append.sentAt === message.sentAt);
    const rejected = peer.inFlightAppends[position];
    if (message.index <= (rejected?.knownMatchIndex ?? peer.matchIndex)) {
        return false;
    }
    if (rejected === undefined && peer.inFlightAppends.length > 0) {
        // Answers a heartbeat; the replies to the appends in flight tell more.
        return true;
    }
    // An append may be rejected only because it overtook the one before it, whose reply is still to come.
    peer.nextIndex = position > 0 && rejected !== undefined
        ? rejected.previousIndex + 1
        : Math.max(peer.matchIndex + 1, Math.min(message.index, readLastIndex(state) + 1));
    peer.inFlightAppends = peer.inFlightAppends.slice(0, Math.max(position, 0));
    peer.isProbing = true;
    return true;
}
