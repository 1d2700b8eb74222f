/** Slot time in a report that the leader has not acknowledged yet. */
export interface PendingReport {
    readonly number: number;
    /** Milliseconds by pool and team. */
    readonly usedMs: ReadonlyMap<string, number>;
}
