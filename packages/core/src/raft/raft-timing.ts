/** Timing of the Raft protocol, milliseconds. */
export interface RaftTiming {
    readonly heartbeatIntervalMs: number;
    /** Shortest time without contact with a leader after which a follower starts an election. */
    readonly minElectionTimeoutMs: number;
    /** Longest such time. Also the time without replies from a quorum after which a leader steps down. */
    readonly maxElectionTimeoutMs: number;
    /**
     * Duration of the leader lease, from the send time of the last message that a quorum acknowledged. Shorter than
     * `minElectionTimeoutMs` by a margin for clock drift.
     */
    readonly leaseMs: number;
    /**
     * The same while replies come slowly, `leaseMs` where left out. Voters that grant it vote for no other keeper for as much
     * longer. A keeper that starts again waits for as long, as it may have granted one.
     */
    readonly maxLeaseMs?: number;
}
