/** How a run of a task ended. */
export enum RunEnd {
    Done = "done",
    /** Failed by itself or by its target. */
    Failed = "failed",
    /** Ended by an order of ours. */
    Stopped = "stopped",
    /** The lease of its target ended. */
    Lapsed = "lapsed",
    /** Another member of its gang ended. */
    Broken = "broken",
    /** It waited for the other members of its gang in vain. */
    Alone = "alone",
    /** Its target is gone for certain. */
    TargetGone = "target-gone",
    /** The target refused the start, so that nothing has run. */
    Rejected = "rejected",
}
