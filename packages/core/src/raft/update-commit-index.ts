import type { RaftState } from "./raft-state.js";
import { readTerm } from "./read-term.js";

/**
 * Advances the commit index to the highest index that is durable on a quorum of voters. Only an entry of the current
 * term is committed this way; those before it are committed along with it.
 * @param state - Raft state of the leader
 */
export function updateCommitIndex(state: RaftState): void {
    const durableIndexes = Object.keys(state.members.voters).map(id =>
        id === state.id ? state.persistedIndex : state.peers.get(id)?.matchIndex ?? 0
    );
    durableIndexes.sort((a, b) => b - a);
    const quorumIndex = durableIndexes[Math.floor(durableIndexes.length / 2)] ?? 0;
    if (quorumIndex > state.commitIndex && readTerm(state, quorumIndex) === state.hard.term) {
        state.commitIndex = quorumIndex;
    }
}
