import { computeLeaseStart } from "./compute-lease-start.js";
import { RaftRole } from "./raft-role.js";
import type { RaftState } from "./raft-state.js";
import { sendAppendToPeers } from "./send-append-to-peers.js";
import { startElection } from "./start-election.js";
import { startFollowing } from "./start-following.js";

/**
 * Lets time pass: heartbeats, elections, and the end of a leader that no quorum answers.
 * @param state - the keeper
 * @param now - monotonic milliseconds
 */
export function tickRaft(state: RaftState, now: number): void {
    if (state.role !== RaftRole.Leader) {
        if (now >= state.electionDueAt) {
            startElection(state, true, now);
        }
        return;
    }
    const heardAt = Math.max(computeLeaseStart(state, now), state.ledSince);
    if (now >= heardAt + state.timing.maxElectionTimeoutMs) {
        startFollowing(state, state.hard.term, undefined, now);
        return;
    }
    if (now >= state.heartbeatDueAt) {
        sendAppendToPeers(state, now);
    }
}
