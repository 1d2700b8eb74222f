import type { RaftState } from "./raft-state.js";
import { readTerm } from "./read-term.js";
import { updateMembers } from "./update-members.js";

/**
 * Takes the applied state as the new snapshot and drops the entries that it replaces.
 * @param state - the keeper
 * @param data - the applied state at the applied index
 * @param keptEntries - applied entries that stay, so that a peer a little behind needs no snapshot
 */
export function createSnapshot(state: RaftState, data: string, keptEntries: number): void {
    const index = state.appliedIndex;
    const term = readTerm(state, index);
    if (term === undefined || index <= state.snapshot.index) {
        return;
    }
    state.snapshot = { index, term, members: readMembersAt(state, index), data };
    dropEntriesUpTo(state, index - keptEntries);
    state.isSnapshotUnpersisted = true;
    for (const peer of state.peers.values()) {
        peer.snapshotOffset = peer.snapshotOffset === undefined ? undefined : 0;
    }
}

function dropEntriesUpTo(state: RaftState, upTo: number): void {
    const term = readTerm(state, upTo);
    if (upTo <= state.base.index || term === undefined) {
        return;
    }
    state.entries = state.entries.slice(upTo - state.base.index);
    state.base = { index: upTo, term };
}

function readMembersAt(state: RaftState, index: number): RaftState["members"] {
    const before = { ...state, entries: state.entries.slice(0, index - state.base.index) };
    updateMembers(before);
    return before.members;
}
