/** Slot time in a report that the leader has not acknowledged yet. */
export interface PendingReport {
    /** Number of the report; resending keeps it. */
    readonly number: number;
    /** Slot time in milliseconds by `pool/team`. */
    readonly usedMs: ReadonlyMap<string, number>;
}
