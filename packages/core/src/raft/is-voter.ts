import type { RaftState } from "./raft-state.js";

/**
 * Tells whether a keeper counts towards the quorum.
 * @param state - Raft state of this keeper
 * @param id - id of the keeper to check
 * @returns true for a voter; false for learners and unknown ids
 */
export function isVoter(state: RaftState, id: string): boolean {
    return Object.hasOwn(state.members.voters, id);
}
