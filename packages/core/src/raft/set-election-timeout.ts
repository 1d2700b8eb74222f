import type { RaftState } from "./raft-state.js";

/**
 * Sets the time of the next election to a random point after now.
 * @param state - the keeper
 * @param now - monotonic milliseconds
 */
export function setElectionTimeout(state: RaftState, now: number): void {
    const { minElectionTimeoutMs: electionMin, maxElectionTimeoutMs: electionMax } = state.timing;
    state.electionDueAt = now + electionMin + state.random() * (electionMax - electionMin);
}
