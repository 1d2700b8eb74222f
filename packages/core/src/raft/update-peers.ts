import type { RaftState } from "./raft-state.js";
import { readLastIndex } from "./read-last-index.js";

/**
 * Adds and removes tracked peers of the leader to match the current members.
 * @param state - Raft state of the leader
 */
export function updatePeers(state: RaftState): void {
    state.leaseSpan = undefined;
    const ids = new Set([...Object.keys(state.members.voters), ...Object.keys(state.members.learners)]);
    ids.delete(state.id);
    for (const id of state.peers.keys()) {
        if (!ids.has(id)) {
            state.peers.delete(id);
        }
    }
    for (const id of ids) {
        if (!state.peers.has(id)) {
            state.peers.set(id, {
                nextIndex: readLastIndex(state) + 1,
                matchIndex: 0,
                inFlightAppends: [],
                isProbing: true,
                ackedSentAt: -1,
                leaseUntil: -1,
                snapshotOffset: undefined,
                chunkSentAt: undefined,
            });
        }
    }
}
