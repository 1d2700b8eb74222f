import type { RaftState } from "./raft-state.js";

/**
 * Reads the index of the last log entry.
 * @param state - Raft state of the keeper
 * @returns the index; that of the base when the log has no entries after it
 */
export function readLastIndex(state: RaftState): number {
    return state.base.index + state.entries.length;
}
