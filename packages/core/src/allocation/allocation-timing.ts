/** Times of the leader's allocation, milliseconds. */
export const allocationTiming = {
    /** Silence after which an entry takes no part in new plans. */
    entrySilent: 3_000,
    /** Silence after which an entry's slots are given to others. */
    entryGone: 10_000,
    /** Time after its start in which a new leader collects reports before it plans. */
    settling: 1_000,
    /** Shortest time between two plans of a pool that only has requests waiting. */
    replan: 500,
    /** Time in which a demand that has passed falls to half. */
    demandHalfLife: 2_000,
    /** Time for which a team counts as active after its last work. */
    teamActive: 1_000,
    /** Margin for messages under way when a holder was lost. */
    lossMargin: 2_000,
} as const;
