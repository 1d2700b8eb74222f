/** Result of a request to a target. */
export enum TargetRequestResult {
    Done = "done",
    /** The target has already received a higher fencing token. */
    Fenced = "fenced",
    /** This run, or one with a higher number, has already been stopped or has ended on the target. */
    AlreadyEnded = "old",
    /** The lease in the request would end in the past. */
    LeaseExpired = "late",
    /** The target has too little free capacity. */
    InsufficientCapacity = "no-room",
    /** The adviser's ticket is missing or has expired. */
    NoTicket = "no-ticket",
    /** A different target uses this address. */
    WrongTarget = "wrong-target",
    /** The target is unhealthy and has not carried the request out. */
    Unhealthy = "unhealthy",
    /** The target cannot interpret the request. */
    Invalid = "invalid",
    /** The request has certainly not reached the target. */
    NotSent = "not-sent",
    /** No response came; the target may have carried the request out, or may still do so. */
    Unanswered = "unanswered",
}
