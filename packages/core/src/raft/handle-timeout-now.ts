import { RaftMessageKind } from "./raft-message-kind.js";
import type { RaftMessage } from "./raft-message.js";
import type { RaftState } from "./raft-state.js";
import { startElection } from "./start-election.js";

type TimeoutNow = Extract<RaftMessage, { kind: RaftMessageKind.TimeoutNow }>;

/**
 * Starts an election at once, without a pre-vote, because the leader transfers its leadership to this keeper and has
 * released its lease.
 * @param state - Raft state of the successor
 * @param message - the request of the leader
 * @param now - monotonic milliseconds
 */
export function handleTimeoutNow(state: RaftState, message: TimeoutNow, now: number): void {
    if (message.term === state.hard.term) {
        startElection(state, false, now, true);
    }
}
