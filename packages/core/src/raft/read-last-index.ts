import type { RaftState } from "./raft-state.js";

/**
 * Reads the index of the newest entry.
 * @param state - the keeper
 * @returns the index; that of the base when no entry follows it
 */
export function readLastIndex(state: RaftState): number {
    return state.base.index + state.entries.length;
}
