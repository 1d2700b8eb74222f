/** Number of tasks of a pool that were placed in an interval, by the urgency of their step. */
export interface PlacementCounts {
    /** The step could finish on time, or is long-running. */
    readonly placedOnTime: number;
    /** The step finishes on time only if it takes no longer than estimated, and late steps waited for the pool. */
    readonly placedUncertain: number;
    /** The step could not finish on time any more. */
    readonly placedLate: number;
}
