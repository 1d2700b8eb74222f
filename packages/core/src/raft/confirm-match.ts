import type { PeerProgress } from "./peer-progress.js";

/**
 * Records that the log of a peer matches up to an index, and settles the appends that this covers.
 * @param peer - replication progress of the peer
 * @param index - the index; one below the known match index changes nothing
 */
export function confirmMatch(peer: PeerProgress, index: number): void {
    if (index > peer.matchIndex) {
        peer.matchIndex = index;
        peer.isProbing = false;
    }
    peer.inFlightAppends = peer.inFlightAppends.filter(append => append.lastIndex > peer.matchIndex);
    peer.nextIndex = Math.max(peer.nextIndex, peer.matchIndex + 1);
}
