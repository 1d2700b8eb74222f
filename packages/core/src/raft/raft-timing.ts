/** Times of the replicated log, milliseconds. */
export interface RaftTiming {
    readonly heartbeatIntervalMs: number;
    /** Shortest silence after which a follower stands for election. */
    readonly minElectionTimeoutMs: number;
    readonly maxElectionTimeoutMs: number;
    /** How long a leader may decide after a quorum heard it; below electionMin by the clocks' drift. */
    readonly leaseMs: number;
}
