import { RaftMessageKind } from "./raft-message-kind.js";
import type { RaftMessage } from "./raft-message.js";
import type { RaftState } from "./raft-state.js";
import { startElection } from "./start-election.js";

type TimeoutNow = Extract<RaftMessage, { kind: RaftMessageKind.TimeoutNow }>;

/**
 * Stands for election at the wish of the leader, which has given up its lease.
 * @param state - the successor
 * @param message - the wish
 * @param now - monotonic milliseconds
 */
export function handleTimeoutNow(state: RaftState, message: TimeoutNow, now: number): void {
    if (message.term === state.hard.term) {
        startElection(state, false, now, true);
    }
}
