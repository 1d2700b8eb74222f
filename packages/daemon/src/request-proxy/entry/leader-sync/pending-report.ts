/** Slot time in a report that the leader has not acknowledged yet. */
export interface PendingReport {
    /** Sequence number of the report, unchanged when it is resent. */
    readonly number: number;
    /** Slot time in milliseconds by `pool/team`. */
    readonly usedMs: ReadonlyMap<string, number>;
}
