import { computeLeaseStart } from "./compute-lease-start.js";
import { RaftRole } from "./raft-role.js";
import type { RaftState } from "./raft-state.js";
import { sendAppendToPeers } from "./send-append-to-peers.js";
import { startElection } from "./start-election.js";
import { startFollowing } from "./start-following.js";

/**
 * Handles timers: sends heartbeats, starts elections, and steps down as leader after the maximum election timeout without
 * replies from a quorum.
 * @param state - Raft state of the keeper
 * @param now - monotonic milliseconds
 */
export function tickRaft(state: RaftState, now: number): void {
    if (state.role !== RaftRole.Leader) {
        if (now >= state.electionDueAt) {
            startElection(state, true, now);
        }
        return;
    }
    const lastQuorumContactAt = Math.max(computeLeaseStart(state, now), state.ledSince);
    if (now >= lastQuorumContactAt + state.timing.maxElectionTimeoutMs) {
        startFollowing(state, state.hard.term, undefined, now);
        return;
    }
    if (now >= state.heartbeatDueAt) {
        sendAppendToPeers(state, now);
    }
}
