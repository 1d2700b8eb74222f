import { computeVotesFrom } from "./compute-votes-from.js";
import type { Members } from "./members.js";
import { RaftMessageKind } from "./raft-message-kind.js";
import type { RaftMessage } from "./raft-message.js";
import type { RaftState } from "./raft-state.js";
import { readTerm } from "./read-term.js";
import { SnapshotContent } from "./snapshot-content.js";
import { startFollowing } from "./start-following.js";
import { updateMembers } from "./update-members.js";

/** Stands for bytes that are no valid UTF-8. */
const replacementCharacter = "\uFFFD";

type SnapshotChunk = Extract<RaftMessage, { kind: RaftMessageKind.SnapshotChunk }>;

/**
 * Receives a chunk of the leader's snapshot, installs the snapshot when it is complete, and replies. A snapshot that does
 * not match its checksum is requested again. One whose entries this keeper has already committed is not needed and counts
 * as installed.
 * @param state - Raft state of the follower
 * @param message - the chunk
 * @param now - monotonic milliseconds
 */
export function handleSnapshotChunk(state: RaftState, message: SnapshotChunk, now: number): void {
    if (message.term < state.hard.term) {
        sendReply(state, message, 0, false);
        return;
    }
    state.votesFrom = Math.max(state.votesFrom, computeVotesFrom(state.timing, undefined, now));
    startFollowing(state, message.term, message.from, now);
    if (message.snapshotIndex <= state.commitIndex) {
        sendReply(state, message, 0, true);
        return;
    }
    const received = takeChunk(state, message);
    if (!message.isLast || received !== message.offset + message.data.length) {
        sendReply(state, message, received, false);
        return;
    }
    if (!isIntact(state, message)) {
        state.damagedSnapshotCount += 1;
        state.incomingSnapshot = undefined;
        sendReply(state, message, 0, false);
        return;
    }
    applySnapshot(state, message);
    sendReply(state, message, received, true);
}

/**
 * Adds a chunk to the incoming snapshot if it is the next one. A chunk of a different snapshot starts the transfer
 * again, also one of another leader for the same index, as leaders may order the same content differently. Returns the
 * number of UTF-16 code units received so far.
 */
function takeChunk(state: RaftState, message: SnapshotChunk): number {
    const { snapshotIndex: index, term } = message;
    if (state.incomingSnapshot?.index !== index || state.incomingSnapshot.term !== term) {
        state.incomingSnapshot = { index, term, data: SnapshotContent.empty };
    }
    if (message.offset === state.incomingSnapshot.data.length) {
        state.incomingSnapshot.data = state.incomingSnapshot.data.append(takeWholeCharacters(message));
    }
    return state.incomingSnapshot.data.length;
}

/**
 * Leaves out a replacement character at the end of a chunk: leaders of earlier releases cut surrogate pairs, whose halves
 * arrive as one each. The leader sends the next chunk from this position on, with the whole character.
 */
function takeWholeCharacters({ data, isLast }: SnapshotChunk): string {
    return !isLast && data.endsWith(replacementCharacter) ? data.slice(0, -1) : data;
}

function isIntact({ incomingSnapshot }: RaftState, { checksum }: SnapshotChunk): boolean {
    return checksum === undefined || incomingSnapshot?.data.computeChecksum() === checksum;
}

/** Replaces the log up to the snapshot. Keeps later entries only if the log contains the snapshot's last entry. */
function applySnapshot(state: RaftState, message: SnapshotChunk): void {
    const isLogKept = readTerm(state, message.snapshotIndex) === message.snapshotTerm;
    const retainedEntries = isLogKept ? state.entries.filter(entry => entry.index > message.snapshotIndex) : [];
    state.snapshot = {
        index: message.snapshotIndex,
        term: message.snapshotTerm,
        members: JSON.parse(message.members) as Members,
        data: state.incomingSnapshot?.data ?? SnapshotContent.empty,
    };
    state.incomingSnapshot = undefined;
    state.base = { index: message.snapshotIndex, term: message.snapshotTerm };
    state.entries = retainedEntries;
    state.commitIndex = message.snapshotIndex;
    state.persistedIndex = message.snapshotIndex + retainedEntries.length;
    state.firstUnpersistedIndex = undefined;
    state.isSnapshotUnpersisted = true;
    updateMembers(state);
}

function sendReply(state: RaftState, message: SnapshotChunk, offset: number, isInstalled: boolean): void {
    state.outbox.push({
        kind: RaftMessageKind.SnapshotReply,
        from: state.id,
        to: message.from,
        term: state.hard.term,
        snapshotIndex: message.snapshotIndex,
        offset,
        isInstalled,
        sentAt: message.sentAt,
    });
}
