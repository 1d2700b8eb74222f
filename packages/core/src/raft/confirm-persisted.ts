import { RaftRole } from "./raft-role.js";
import type { RaftState } from "./raft-state.js";
import { readLastIndex } from "./read-last-index.js";
import { updateCommitIndex } from "./update-commit-index.js";

/**
 * Records that the hard state, the snapshot and all entries are durable. On the leader this may advance the commit
 * index.
 * @param state - Raft state of the keeper
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
