import type { RaftState } from "./raft-state.js";
import { sendAppend } from "./send-append.js";
import { sendHeartbeat } from "./send-heartbeat.js";

/**
 * Sends every peer its unsent entries or, while appends are in flight, a heartbeat, and schedules the next heartbeat.
 * @param state - Raft state of the leader
 * @param now - monotonic milliseconds
 */
export function sendAppendToPeers(state: RaftState, now: number): void {
    state.heartbeatDueAt = now + state.timing.heartbeatIntervalMs;
    for (const [id, peer] of state.peers) {
        // A follower does not answer an append that it holds for a lost one, so that it gets a heartbeat meanwhile.
        if (peer.inFlightAppends.length > 0 || !sendAppend(state, id, peer, now)) {
            sendHeartbeat(state, id, peer, now);
        }
    }
}
