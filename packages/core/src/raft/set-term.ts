import type { RaftState } from "./raft-state.js";

/**
 * Sets the term and the vote, and marks them as not yet persisted. Drops held appends of another term.
 * @param state - Raft state of the keeper
 * @param term - the term
 * @param votedFor - id of the candidate that gets the vote; `undefined` for none
 */
export function setTerm(state: RaftState, term: number, votedFor: string | undefined): void {
    if (state.hard.term === term && state.hard.votedFor === votedFor) {
        return;
    }
    if (state.hard.term !== term) {
        state.heldAppends = [];
    }
    state.hard = { term, votedFor };
    state.isHardStateUnpersisted = true;
}
