import { appendEntry } from "./append-entry.js";
import { LogEntryKind } from "./log-entry-kind.js";
import { RaftRole } from "./raft-role.js";
import type { RaftState } from "./raft-state.js";
import { sendAppendToPeers } from "./send-append-to-peers.js";
import { updatePeers } from "./update-peers.js";

/**
 * Becomes leader and appends a no-op entry, through which entries of earlier terms can be committed.
 * @param state - Raft state of the keeper
 * @param now - monotonic milliseconds
 */
export function startLeading(state: RaftState, now: number): void {
    state.role = RaftRole.Leader;
    state.leader = state.id;
    state.ledSince = now;
    state.peers.clear();
    state.leaseSpan = undefined;
    updatePeers(state);
    appendEntry(state, LogEntryKind.NoOp, "");
    sendAppendToPeers(state, now);
}
