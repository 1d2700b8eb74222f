import type { LogEntry } from "./log-entry.js";
import type { RaftState } from "./raft-state.js";

/**
 * Takes the committed entries that are not applied yet and advances the applied index. Takes only entries that are
 * durable on this keeper.
 * @param state - Raft state of the keeper
 * @returns the entries to apply, in log order
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
