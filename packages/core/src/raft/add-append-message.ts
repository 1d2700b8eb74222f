import type { LogEntry } from "./log-entry.js";
import { RaftMessageKind } from "./raft-message-kind.js";
import type { RaftState } from "./raft-state.js";
import { readTerm } from "./read-term.js";

/**
 * Adds an append message to the outbox.
 * @param state - Raft state of the leader
 * @param to - id of the peer
 * @param previousIndex - index of the entry before the first one in the message
 * @param entries - the entries; none for a heartbeat
 * @param now - monotonic milliseconds
 */
export function addAppendMessage(
    state: RaftState,
    to: string,
    previousIndex: number,
    entries: LogEntry[],
    now: number,
): void {
    state.outbox.push({
        kind: RaftMessageKind.Append,
        from: state.id,
        to,
        term: state.hard.term,
        previousIndex,
        previousTerm: readTerm(state, previousIndex) ?? 0,
        entries,
        commitIndex: state.commitIndex,
        sentAt: now,
        leaseMs: now < state.slowUntil ? state.timing.maxLeaseMs : undefined,
    });
}
