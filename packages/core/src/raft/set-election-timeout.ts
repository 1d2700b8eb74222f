import type { RaftState } from "./raft-state.js";

/**
 * Schedules the next election after a random timeout, the shortest of which is not before the keeper may vote again.
 * @param state - Raft state of the keeper
 * @param now - monotonic milliseconds
 */
export function setElectionTimeout(state: RaftState, now: number): void {
    const { minElectionTimeoutMs: minMs, maxElectionTimeoutMs: maxMs } = state.timing;
    const earliest = Math.max(now + minMs, state.votesFrom);
    state.electionDueAt = earliest + state.random() * (maxMs - minMs);
}
