import type { RaftState } from "./raft-state.js";

/**
 * Sets the time of the next election to a random point after now.
 * @param state - the keeper
 * @param now - monotonic milliseconds
 */
export function setElectionTime(state: RaftState, now: number): void {
    const { electionMin, electionMax } = state.timing;
    state.electionDue = now + electionMin + state.random() * (electionMax - electionMin);
}
