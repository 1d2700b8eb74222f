import type { RaftState } from "./raft-state.js";
import { readTerm } from "./read-term.js";
import type { SnapshotContent } from "./snapshot-content.js";
import { updateMembers } from "./update-members.js";

/**
 * Makes the applied state the new snapshot and truncates the log before it, except for the newest applied entries, so that
 * a peer that lags slightly needs no snapshot. Does nothing when the current snapshot
 * already covers the applied index.
 * @param state - Raft state of the keeper
 * @param data - encoded application state at the applied index
 * @param retainedEntries - largest number of applied entries kept in the log
 * @param retainedCharacters - largest total payload of the applied entries kept in the log, characters
 */
export function createSnapshot(
    state: RaftState,
    data: SnapshotContent,
    retainedEntries: number,
    retainedCharacters = Infinity,
): void {
    const index = state.appliedIndex;
    const term = readTerm(state, index);
    if (term === undefined || index <= state.snapshot.index) {
        return;
    }
    state.snapshot = { index, term, members: readMembersAt(state, index), data };
    dropEntriesUpTo(state, index - countRetained(state, retainedEntries, retainedCharacters));
    state.isSnapshotUnpersisted = true;
    // Transfers of the previous snapshot start again with the new one.
    for (const peer of state.peers.values()) {
        peer.snapshotOffset = peer.snapshotOffset === undefined ? undefined : 0;
    }
}

/** Counts the newest applied entries that are within the limits. */
function countRetained(state: RaftState, maxEntries: number, maxCharacters: number): number {
    let characters = 0;
    let count = 0;
    while (count < maxEntries) {
        const entry = state.entries[state.appliedIndex - count - state.base.index - 1];
        characters += entry?.payload.length ?? 0;
        if (entry === undefined || characters > maxCharacters) {
            break;
        }
        count += 1;
    }
    return count;
}

/** Drops the entries up to an index, which becomes the new base. */
function dropEntriesUpTo(state: RaftState, upTo: number): void {
    const term = readTerm(state, upTo);
    if (upTo <= state.base.index || term === undefined) {
        return;
    }
    state.entries = state.entries.slice(upTo - state.base.index);
    state.base = { index: upTo, term };
}

/** Finds the members that were active at an index, without later changes of members. */
function readMembersAt(state: RaftState, index: number): RaftState["members"] {
    const stateAtIndex = { ...state, entries: state.entries.slice(0, index - state.base.index) };
    updateMembers(stateAtIndex);
    return stateAtIndex.members;
}
