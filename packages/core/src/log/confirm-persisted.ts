import { RaftRole } from "./raft-role.js";
import type { RaftState } from "./raft-state.js";
import { readLastIndex } from "./read-last-index.js";
import { updateCommit } from "./update-commit.js";

/**
 * Notes that hard state, snapshot and all entries are on disk.
 * @param state - the keeper
 */
export function confirmPersisted(state: RaftState): void {
    state.isHardStateUnsaved = false;
    state.isSnapshotUnsaved = false;
    state.unsavedFrom = undefined;
    state.persistedIndex = readLastIndex(state);
    if (state.role === RaftRole.Leader) {
        updateCommit(state);
    }
}
