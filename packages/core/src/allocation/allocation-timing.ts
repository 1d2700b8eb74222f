/** Timeouts and intervals of the leader's allocation, milliseconds. */
export const allocationTiming = {
    /** Time without a report after which an entry is excluded from new plans. */
    entryUnresponsiveMs: 3_000,
    /** Time without a report after which an entry's slots are reassigned. */
    entryExpiryMs: 10_000,
    /** Time for which a new leader collects reports before its first plan. */
    warmUpMs: 1_000,
    /** Shortest interval between two plans of a pool that is replanned only because requests wait. */
    minReplanIntervalMs: 500,
    /** Half-life of the exponential decay of a demand peak. */
    demandHalfLifeMs: 2_000,
    /** Time for which a team counts as active after its last reported running or waiting request. */
    teamActiveMs: 1_000,
    /**
     * Time after the detection of a holder's loss from which target reports count for its release. Requests that were
     * in flight at the loss may reach their targets until then.
     */
    lostHolderMarginMs: 2_000,
} as const;
