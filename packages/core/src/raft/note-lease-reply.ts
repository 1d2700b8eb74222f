import { noteAcknowledgement } from "./note-acknowledgement.js";
import { RaftMessageKind } from "./raft-message-kind.js";
import type { RaftMessage } from "./raft-message.js";
import { RaftRole } from "./raft-role.js";
import type { RaftState } from "./raft-state.js";

/**
 * Takes note of the lease that a reply extends, and of nothing else, for a message that is handled later.
 * @param state - Raft state of the leader
 * @param message - a message that has arrived
 */
export function noteLeaseReply(state: RaftState, message: RaftMessage): void {
    const peer = state.peers.get(message.from);
    if (state.role !== RaftRole.Leader || peer === undefined || message.kind !== RaftMessageKind.AppendReply) {
        return;
    }
    if (message.to === state.id && message.term === state.hard.term) {
        noteAcknowledgement(state, peer, message.sentAt, message.leaseMs);
    }
}
