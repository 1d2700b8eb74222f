/** What a leader knows of another keeper. */
export interface PeerProgress {
    nextIndex: number;
    matchIndex: number;
    /** Whether an append with entries awaits its reply. */
    isAppendInFlight: boolean;
    /** Newest of the leader's send times that the peer has answered; -1 for none. */
    ackedSentAt: number;
    /** Characters of the snapshot that the peer has; `undefined` when none is under way. */
    snapshotOffset: number | undefined;
}
