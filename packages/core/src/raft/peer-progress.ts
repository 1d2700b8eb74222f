import type { InFlightAppend } from "./in-flight-append.js";

/** Replication progress of another keeper, as tracked by the leader. */
export interface PeerProgress {
    /** Index of the next entry to send; entries in flight are before it. */
    nextIndex: number;
    /** Highest index at which the log of the peer is known to match; 0 for none. */
    matchIndex: number;
    /** Appends with entries that wait for their replies, oldest first. */
    inFlightAppends: readonly InFlightAppend[];
    /**
     * Whether the position of the peer's log is uncertain, at first and after a rejection or a loss. Until the match
     * index advances, only one append is then in flight.
     */
    isProbing: boolean;
    /** Send time of the newest message that the peer has acknowledged, leader's monotonic milliseconds; -1 for none. */
    ackedSentAt: number;
    /** Until when the peer has granted the lease, by the leader's monotonic clock, milliseconds; -1 for never. */
    leaseUntil: number;
    /** UTF-16 code units of the snapshot that the peer has received; `undefined` when no transfer is in progress. */
    snapshotOffset: number | undefined;
    /** Send time of the snapshot chunk that waits for its reply; `undefined` for none. */
    chunkSentAt: number | undefined;
}
