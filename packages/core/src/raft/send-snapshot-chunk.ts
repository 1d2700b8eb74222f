import { crc32 } from "node:zlib";

import type { PeerProgress } from "./peer-progress.js";
import { RaftMessageKind } from "./raft-message-kind.js";
import type { RaftState } from "./raft-state.js";

/** Largest part of the snapshot in one message, UTF-16 code units. */
const chunkCharacters = 64 * 1024;
const maxCodeUnit = 0xffff;

/**
 * Sends a peer the next chunk of the snapshot, unless a chunk is in flight.
 * @param state - Raft state of the leader
 * @param to - id of the peer
 * @param peer - its replication progress
 * @param now - monotonic milliseconds
 * @returns whether a chunk was sent
 */
export function sendSnapshotChunk(state: RaftState, to: string, peer: PeerProgress, now: number): boolean {
    if (peer.chunkSentAt !== undefined) {
        return false;
    }
    const { snapshot } = state;
    const offset = Math.min(peer.snapshotOffset ?? 0, snapshot.data.length);
    peer.snapshotOffset = offset;
    peer.chunkSentAt = now;
    peer.inFlightAppends = [];
    const data = cutChunk(snapshot.data, offset);
    const isLast = offset + data.length >= snapshot.data.length;
    state.outbox.push({
        kind: RaftMessageKind.SnapshotChunk,
        from: state.id,
        to,
        term: state.hard.term,
        snapshotIndex: snapshot.index,
        snapshotTerm: snapshot.term,
        members: JSON.stringify(snapshot.members),
        offset,
        data,
        isLast,
        checksum: isLast ? crc32(snapshot.data) : undefined,
        sentAt: now,
    });
    return true;
}

/** Cuts between characters: half of a surrogate pair cannot be sent as UTF-8. */
function cutChunk(data: string, offset: number): string {
    const end = offset + chunkCharacters;
    const isPairCut = end < data.length && (data.codePointAt(end - 1) ?? 0) > maxCodeUnit;
    return data.slice(offset, isPairCut ? end - 1 : end);
}
