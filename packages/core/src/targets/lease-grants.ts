/** Leases that a target may hold. All times are milliseconds on the leader's monotonic clock. */
export interface LeaseGrants {
    /** When this leadership began; an earlier leader may have granted leases until then. */
    readonly leadingSince: number;
    /**
     * Until when the target may have executed requests that were meant for another incarnation; `undefined` if there were
     * none.
     */
    readonly strayRequestsUntil: number | undefined;
    /** When the leases that this leader has granted expire; `undefined` when it has granted none. */
    readonly ownExpiry: number | undefined;
    /** Duration of the leases that leaders request, milliseconds. */
    readonly requestedLeaseMs: number;
    /** Longest lease that a target accepts, milliseconds. */
    readonly maxLeaseMs: number;
}
