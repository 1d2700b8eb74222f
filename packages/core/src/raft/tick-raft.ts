import { computeLeaseStart } from "./compute-lease-start.js";
import { RaftRole } from "./raft-role.js";
import type { RaftState } from "./raft-state.js";
import { sendAppendToPeers } from "./send-append-to-peers.js";
import { startElection } from "./start-election.js";
import { startFollowing } from "./start-following.js";

/** Time for which the leader asks for a longer lease after replies that came slowly, milliseconds. */
const slowMs = 2_000;

/**
 * Handles timers: sends heartbeats, starts elections, and steps down as leader after the maximum election timeout without
 * replies from a quorum. A leader whose replies take more than half of the lease asks for a longer one: a process that is
 * short of processor time otherwise loses its lease, and then its leadership, when it has most to do.
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
    if (now - lastQuorumContactAt > state.timing.leaseMs / 2) {
        state.slowUntil = now + slowMs;
    }
    if (now >= state.heartbeatDueAt) {
        sendAppendToPeers(state, now);
    }
}
