/** Class of urgency of a step; the lowest starts first. */
export enum Urgency {
    /** Long-running: serves its users only while it runs. */
    LongRunning = 0,
    /** Can still finish on time. */
    OnTime = 1,
    /** Finishes on time only if it takes no longer than estimated, and late steps wait for its pool. */
    Uncertain = 2,
    /** Is late already, or cannot finish on time. */
    Late = 3,
}
