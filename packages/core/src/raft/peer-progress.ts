/** Replication progress of another keeper, as tracked by the leader. */
export interface PeerProgress {
    /** Index of the next entry to send. */
    nextIndex: number;
    /** Highest index at which the log of the peer is known to match; 0 for none. */
    matchIndex: number;
    /** Whether an append with entries is waiting for its reply. */
    isAppendInFlight: boolean;
    /** Send time of the newest message that the peer has acknowledged, leader's monotonic milliseconds; -1 for none. */
    ackedSentAt: number;
    /** Characters of the snapshot that the peer has received; `undefined` when no transfer is in progress. */
    snapshotOffset: number | undefined;
}
