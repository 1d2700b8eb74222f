/** How a run of a task ended. */
export enum RunOutcome {
    Done = "done",
    /** The task or its target failed. */
    Failed = "failed",
    /** Stopped at the request of the leader. */
    Stopped = "stopped",
    /** The lease of its target expired. */
    LeaseExpired = "lapsed",
    /** Another member of its gang ended. */
    GangMemberEnded = "broken",
    /** The other members of its gang did not start in time. */
    GangIncomplete = "alone",
    /** Its target is confirmed to be gone. */
    TargetGone = "target-gone",
    /** Its target is confirmed to have crashed. */
    TargetCrashed = "target-crashed",
    /** The target rejected the start request, so nothing has run. */
    Rejected = "rejected",
}
