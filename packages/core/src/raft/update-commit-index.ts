import type { RaftState } from "./raft-state.js";
import { readTerm } from "./read-term.js";

/**
 * Commits what a quorum of voters has on disk, as far as it is of the leader's own term.
 * @param state - the leader
 */
export function updateCommitIndex(state: RaftState): void {
    const indexes = Object.keys(state.members.voters).map(id =>
        id === state.id ? state.persistedIndex : state.peers.get(id)?.matchIndex ?? 0
    );
    indexes.sort((a, b) => b - a);
    const quorumIndex = indexes[Math.floor(indexes.length / 2)] ?? 0;
    if (quorumIndex > state.commitIndex && readTerm(state, quorumIndex) === state.hard.term) {
        state.commitIndex = quorumIndex;
    }
}
