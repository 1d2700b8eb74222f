import { addAppendMessage } from "./add-append-message.js";
import type { LogEntry } from "./log-entry.js";
import { maxInFlightAppends } from "./max-in-flight-appends.js";
import type { PeerProgress } from "./peer-progress.js";
import type { RaftState } from "./raft-state.js";
import { readTerm } from "./read-term.js";
import { sendSnapshotChunk } from "./send-snapshot-chunk.js";

const maxEntriesPerMessage = 512;
/** Largest total payload of the entries in a message, characters; a single larger entry is sent on its own. */
const maxCharactersPerMessage = 256 * 1024;
/**
 * Shortest time between two appends for each append that is in flight, milliseconds. The number of appends in flight
 * then grows with the square root of the response time, and a slow peer gets fewer, larger appends.
 */
const spacingPerInFlightAppendMs = 1;

/**
 * Sends a peer the entries that were not sent to it yet, unless it has to answer earlier appends first. Sends the
 * snapshot, one chunk at a time, when the log no longer contains these entries.
 * @param state - Raft state of the leader
 * @param to - id of the peer
 * @param peer - its replication progress
 * @param now - monotonic milliseconds
 * @returns whether a message was sent
 */
export function sendAppend(state: RaftState, to: string, peer: PeerProgress, now: number): boolean {
    const previousIndex = peer.nextIndex - 1;
    if (readTerm(state, previousIndex) === undefined || peer.snapshotOffset !== undefined) {
        return sendSnapshotChunk(state, to, peer, now);
    }
    const entries = isAppendDue(peer, now) ? takeEntries(state, peer.nextIndex) : [];
    if (entries.length === 0) {
        return false;
    }
    const lastIndex = previousIndex + entries.length;
    const append = { previousIndex, lastIndex, knownMatchIndex: peer.matchIndex, sentAt: now };
    peer.inFlightAppends = [...peer.inFlightAppends, append];
    peer.nextIndex = lastIndex + 1;
    addAppendMessage(state, to, previousIndex, entries, now);
    return true;
}

function isAppendDue({ inFlightAppends, isProbing }: PeerProgress, now: number): boolean {
    const newest = inFlightAppends.at(-1);
    if (newest === undefined) {
        return true;
    }
    const spacingMs = inFlightAppends.length * spacingPerInFlightAppendMs;
    return !isProbing && inFlightAppends.length < maxInFlightAppends && now - newest.sentAt >= spacingMs;
}

function takeEntries(state: RaftState, from: number): LogEntry[] {
    const start = from - state.base.index - 1;
    const taken: LogEntry[] = [];
    let characters = 0;
    for (const entry of state.entries.slice(start, start + maxEntriesPerMessage)) {
        characters += entry.payload.length;
        if (taken.length > 0 && characters > maxCharactersPerMessage) {
            break;
        }
        taken.push(entry);
    }
    return taken;
}
