import { computeLeaseStart } from "./compute-lease-start.js";
import { RaftRole } from "./raft-role.js";
import type { RaftState } from "./raft-state.js";
import { sendToAll } from "./send-to-all.js";
import { startElection } from "./start-election.js";
import { startFollowing } from "./start-following.js";

/**
 * Lets time pass: heartbeats, elections, and the end of a leader that no quorum answers.
 * @param state - the keeper
 * @param now - monotonic milliseconds
 */
export function tickRaft(state: RaftState, now: number): void {
    if (state.role !== RaftRole.Leader) {
        if (now >= state.electionDue) {
            startElection(state, true, now);
        }
        return;
    }
    const heardAt = Math.max(computeLeaseStart(state, now), state.ledSince);
    if (now >= heardAt + state.timing.electionMax) {
        startFollowing(state, state.hard.term, undefined, now);
        return;
    }
    if (now >= state.heartbeatDue) {
        sendToAll(state, now);
    }
}
