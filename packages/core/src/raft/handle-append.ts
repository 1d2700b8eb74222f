import { assertInvariant } from "../invariants/assert-invariant.js";
import { Invariant } from "../invariants/invariant.js";
import { computeGrantedLease } from "./compute-granted-lease.js";
import { computeVotesFrom } from "./compute-votes-from.js";
import { LogEntryKind } from "./log-entry-kind.js";
import type { LogEntry } from "./log-entry.js";
import { maxInFlightAppends } from "./max-in-flight-appends.js";
import { RaftMessageKind } from "./raft-message-kind.js";
import type { RaftMessage } from "./raft-message.js";
import { RaftRole } from "./raft-role.js";
import type { RaftState } from "./raft-state.js";
import { readLastIndex } from "./read-last-index.js";
import { readTerm } from "./read-term.js";
import { startFollowing } from "./start-following.js";
import { updateMembers } from "./update-members.js";

type Append = Extract<RaftMessage, { kind: RaftMessageKind.Append }>;

/**
 * Appends the leader's entries to the log of the follower, drops entries that conflict with them, and replies.
 * @param state - Raft state of the follower
 * @param message - the entries, with index and term of the entry that must precede them
 * @param now - monotonic milliseconds
 */
export function handleAppend(state: RaftState, message: Append, now: number): void {
    if (message.term < state.hard.term) {
        sendReply(state, message, false, 0);
        return;
    }
    assertInvariant(
        state.role !== RaftRole.Leader,
        Invariant.OneLeaderPerTerm,
        () => `${state.id} and ${message.from} both lead term ${message.term}`,
    );
    state.votesFrom = Math.max(state.votesFrom, computeVotesFrom(state.timing, message.leaseMs, now));
    startFollowing(state, message.term, message.from, now);
    if (message.previousIndex < state.base.index) {
        sendReply(state, message, false, state.commitIndex + 1);
        return;
    }
    if (isOvertaking(state, message)) {
        state.heldAppends.push(message);
        return;
    }
    if (readTerm(state, message.previousIndex) !== message.previousTerm) {
        sendReply(state, message, false, computeRetryIndex(state, message.previousIndex));
        return;
    }
    for (const entry of message.entries) {
        addEntry(state, entry);
    }
    const matchIndex = message.previousIndex + message.entries.length;
    state.commitIndex = Math.max(state.commitIndex, Math.min(message.commitIndex, matchIndex));
    state.matchedTerm = message.term;
    sendReply(state, message, true, matchIndex);
    handleHeldAppends(state, now);
}

/**
 * Tells whether an append has overtaken the one before it. Only then does it start beyond the end of a log that is known
 * to be a prefix of the leader's. It is handled once the gap is closed; if the append before it is lost, the leader sends
 * both again.
 */
function isOvertaking(state: RaftState, message: Append): boolean {
    return state.matchedTerm === message.term && message.entries.length > 0
        && message.previousIndex > readLastIndex(state) && state.heldAppends.length < maxInFlightAppends;
}

function handleHeldAppends(state: RaftState, now: number): void {
    const lastIndex = readLastIndex(state);
    const next = state.heldAppends.find(append => append.previousIndex <= lastIndex);
    if (next !== undefined) {
        state.heldAppends = state.heldAppends.filter(append => append !== next);
        handleAppend(state, next, now);
    }
}

/**
 * Computes the index from which the leader should send again. Skips all entries of the conflicting term, so that log
 * repair takes one round trip per term.
 */
function computeRetryIndex(state: RaftState, previousIndex: number): number {
    const lastIndex = readLastIndex(state);
    if (previousIndex > lastIndex) {
        return lastIndex + 1;
    }
    const conflicting = readTerm(state, previousIndex);
    let index = previousIndex;
    while (index > state.commitIndex + 1 && readTerm(state, index - 1) === conflicting) {
        index -= 1;
    }
    return index;
}

function addEntry(state: RaftState, entry: LogEntry): void {
    const existing = readTerm(state, entry.index);
    if (existing === entry.term) {
        return;
    }
    if (existing !== undefined) {
        dropEntriesFrom(state, entry.index);
    }
    state.entries.push(entry);
    state.firstUnpersistedIndex = Math.min(state.firstUnpersistedIndex ?? entry.index, entry.index);
    if (entry.kind === LogEntryKind.Members) {
        updateMembers(state);
    }
}

function dropEntriesFrom(state: RaftState, index: number): void {
    assertInvariant(
        index > state.commitIndex,
        Invariant.CommittedEntriesStay,
        () => `${state.id} would drop entry ${index}, committed up to ${state.commitIndex}`,
    );
    state.entries.length = index - state.base.index - 1;
    state.persistedIndex = Math.min(state.persistedIndex, index - 1);
    if (state.membersIndex >= index) {
        updateMembers(state);
    }
}

function sendReply(state: RaftState, message: Append, isAccepted: boolean, index: number): void {
    state.outbox.push({
        kind: RaftMessageKind.AppendReply,
        from: state.id,
        to: message.from,
        term: state.hard.term,
        isAccepted,
        index,
        sentAt: message.sentAt,
        leaseMs: computeGrantedLease(state.timing, message.leaseMs),
    });
}
