import { RaftRole } from "./raft-role.js";
import type { RaftState } from "./raft-state.js";
import { readLastIndex } from "./read-last-index.js";
import { updateCommitIndex } from "./update-commit-index.js";

/**
 * Notes that hard state, snapshot and all entries are on disk.
 * @param state - the keeper
 */
export function confirmPersisted(state: RaftState): void {
    state.isHardStateUnpersisted = false;
    state.isSnapshotUnpersisted = false;
    state.firstUnpersistedIndex = undefined;
    state.persistedIndex = readLastIndex(state);
    if (state.role === RaftRole.Leader) {
        updateCommitIndex(state);
    }
}
