import { LogEntryKind } from "./log-entry-kind.js";
import type { RaftState } from "./raft-state.js";
import { readLastIndex } from "./read-last-index.js";
import { updateMembers } from "./update-members.js";
import { updatePeers } from "./update-peers.js";

/**
 * Appends an entry of the current term to the leader's log. A change of members takes effect at once.
 * @param state - Raft state of the leader
 * @param kind - kind of the entry
 * @param payload - JSON of the command or members; empty for a no-op
 * @returns index of the entry
 */
export function appendEntry(state: RaftState, kind: LogEntryKind, payload: string): number {
    const index = readLastIndex(state) + 1;
    state.entries.push({ index, term: state.hard.term, kind, payload });
    state.firstUnpersistedIndex = Math.min(state.firstUnpersistedIndex ?? index, index);
    if (kind === LogEntryKind.Members) {
        updateMembers(state);
        updatePeers(state);
    }
    return index;
}
