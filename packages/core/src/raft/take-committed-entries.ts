import type { LogEntry } from "./log-entry.js";
import type { RaftState } from "./raft-state.js";

/**
 * Takes the committed entries that were not applied yet. Only entries on disk are taken.
 * @param state - the keeper
 * @returns entries in order
 */
export function takeCommittedEntries(state: RaftState): LogEntry[] {
    const end = Math.min(state.commitIndex, state.persistedIndex);
    const from = Math.max(state.appliedIndex, state.snapshot.index);
    if (end <= from) {
        return [];
    }
    const committed = state.entries.slice(from - state.base.index, end - state.base.index);
    state.appliedIndex = end;
    return committed;
}
