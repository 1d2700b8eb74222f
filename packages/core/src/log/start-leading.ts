import { appendEntry } from "./append-entry.js";
import { EntryKind } from "./entry-kind.js";
import { RaftRole } from "./raft-role.js";
import type { RaftState } from "./raft-state.js";
import { sendToAll } from "./send-to-all.js";
import { updatePeers } from "./update-peers.js";

/**
 * Becomes leader and begins the term with an entry of its own.
 * @param state - the keeper
 * @param now - monotonic milliseconds
 */
export function startLeading(state: RaftState, now: number): void {
    state.role = RaftRole.Leader;
    state.leader = state.id;
    state.ledSince = now;
    state.peers.clear();
    updatePeers(state);
    appendEntry(state, EntryKind.NoOp, "");
    sendToAll(state, now);
}
