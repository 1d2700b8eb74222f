import type { RaftState } from "./raft-state.js";

/**
 * Schedules the next election after a random timeout.
 * @param state - Raft state of the keeper
 * @param now - monotonic milliseconds
 */
export function setElectionTimeout(state: RaftState, now: number): void {
    const { minElectionTimeoutMs: minMs, maxElectionTimeoutMs: maxMs } = state.timing;
    state.electionDueAt = now + minMs + state.random() * (maxMs - minMs);
}
