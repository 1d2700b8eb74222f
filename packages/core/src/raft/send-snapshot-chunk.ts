import type { PeerProgress } from "./peer-progress.js";
import { RaftMessageKind } from "./raft-message-kind.js";
import type { RaftState } from "./raft-state.js";

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
    const data = snapshot.data.readChunk(offset);
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
        checksum: isLast ? snapshot.data.computeChecksum() : undefined,
        sentAt: now,
    });
    return true;
}
