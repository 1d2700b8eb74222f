import type { RaftState } from "./raft-state.js";

/**
 * Moves to a term, with or without a vote in it.
 * @param state - the keeper
 * @param term - the term
 * @param votedFor - whom this keeper votes for
 */
export function setTerm(state: RaftState, term: number, votedFor: string | undefined): void {
    if (state.hard.term === term && state.hard.votedFor === votedFor) {
        return;
    }
    state.hard = { term, votedFor };
    state.isHardStateUnpersisted = true;
}
