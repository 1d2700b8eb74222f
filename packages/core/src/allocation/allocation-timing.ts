/** Times of the leader's allocation, milliseconds. */
export const allocationTiming = {
    /** Silence after which an entry takes no part in new plans. */
    entryUnresponsiveMs: 3_000,
    /** Silence after which an entry's slots are given to others. */
    entryExpiryMs: 10_000,
    /** Time after its start in which a new leader collects reports before it plans. */
    warmUpMs: 1_000,
    /** Shortest time between two plans of a pool that only has requests waiting. */
    minReplanIntervalMs: 500,
    /** Time in which a demand that has passed falls to half. */
    demandHalfLifeMs: 2_000,
    /** Time for which a team counts as active after its last work. */
    teamActiveMs: 1_000,
    /** Margin for messages under way when a holder was lost. */
    lostHolderMarginMs: 2_000,
} as const;
