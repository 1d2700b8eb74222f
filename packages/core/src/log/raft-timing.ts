/** Times of the replicated log, milliseconds. */
export interface RaftTiming {
    readonly heartbeat: number;
    /** Shortest silence after which a follower stands for election. */
    readonly electionMin: number;
    readonly electionMax: number;
    /** How long a leader may decide after a quorum heard it; below electionMin by the clocks' drift. */
    readonly lease: number;
}
