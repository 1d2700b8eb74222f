import type { RaftState } from "./raft-state.js";

/**
 * Reads the term of an entry.
 * @param state - the keeper
 * @param index - index of the entry
 * @returns its term, or `undefined` when the log does not reach it
 */
export function readTerm(state: RaftState, index: number): number | undefined {
    if (index === state.base.index) {
        return state.base.term;
    }
    return state.entries[index - state.base.index - 1]?.term;
}
