/** Start and end of a leader lease, monotonic milliseconds; -1 without a quorum, infinity for a cluster of one keeper. */
export interface LeaseSpan {
    /** Latest time such that a quorum has acknowledged a message that was sent at that time or later. */
    readonly start: number;
    /** Latest time up to which a quorum has granted the lease. */
    readonly end: number;
}
