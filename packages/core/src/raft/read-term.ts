import type { RaftState } from "./raft-state.js";

/**
 * Reads the term of an entry.
 * @param state - Raft state of the keeper
 * @param index - index of the entry
 * @returns its term; `undefined` when the entry was truncated or does not exist yet
 */
export function readTerm(state: RaftState, index: number): number | undefined {
    if (index === state.base.index) {
        return state.base.term;
    }
    return state.entries[index - state.base.index - 1]?.term;
}
