import type { RaftState } from "./raft-state.js";

/**
 * Tells whether a keeper counts for the quorum.
 * @param state - the keeper that asks
 * @param id - the keeper asked about
 * @returns true for a voter
 */
export function isVoter(state: RaftState, id: string): boolean {
    return Object.hasOwn(state.members.voters, id);
}
