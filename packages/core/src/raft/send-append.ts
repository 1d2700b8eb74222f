import type { LogEntry } from "./log-entry.js";
import type { PeerProgress } from "./peer-progress.js";
import { RaftMessageKind } from "./raft-message-kind.js";
import type { RaftState } from "./raft-state.js";
import { readTerm } from "./read-term.js";
import { sendSnapshotChunk } from "./send-snapshot-chunk.js";

const maxEntriesPerMessage = 512;
/** Largest total payload of the entries in a message, characters; a single larger entry is sent on its own. */
const maxCharactersPerMessage = 256 * 1024;

/**
 * Sends a peer its missing entries, or a heartbeat when it has them all. Sends the snapshot when the log no longer
 * contains the missing entries.
 * @param state - Raft state of the leader
 * @param to - id of the peer
 * @param peer - its replication progress
 * @param now - monotonic milliseconds
 */
export function sendAppend(state: RaftState, to: string, peer: PeerProgress, now: number): void {
    const previousIndex = peer.nextIndex - 1;
    const previousTerm = readTerm(state, previousIndex);
    if (previousTerm === undefined || peer.snapshotOffset !== undefined) {
        sendSnapshotChunk(state, to, peer, now);
        return;
    }
    const entries = takeEntries(state, peer.nextIndex);
    peer.isAppendInFlight = entries.length > 0;
    state.outbox.push({
        kind: RaftMessageKind.Append,
        from: state.id,
        to,
        term: state.hard.term,
        previousIndex,
        previousTerm,
        entries,
        commitIndex: state.commitIndex,
        sentAt: now,
    });
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
