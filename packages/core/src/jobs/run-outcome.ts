/** How a run of a task ended. */
export enum RunOutcome {
    Done = "done",
    /** Failed by itself or by its target. */
    Failed = "failed",
    /** Ended by an order of ours. */
    Stopped = "stopped",
    /** The lease of its target ended. */
    LeaseExpired = "lapsed",
    /** Another member of its gang ended. */
    GangMemberEnded = "broken",
    /** It waited for the other members of its gang in vain. */
    GangIncomplete = "alone",
    /** Its target is gone for certain. */
    TargetGone = "target-gone",
    /** The target refused the start, so that nothing has run. */
    Rejected = "rejected",
}
