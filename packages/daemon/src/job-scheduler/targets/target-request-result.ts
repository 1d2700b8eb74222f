/** What became of an order to a target. */
export enum TargetRequestResult {
    Done = "done",
    /** A higher fencing token has been seen there. */
    Fenced = "fenced",
    /** That run, or a higher one, has been stopped or has ended there. */
    AlreadyEnded = "old",
    /** Its lease would end in the past. */
    LeaseExpired = "late",
    NoRoom = "no-room",
    /** The adviser's ticket is missing or no longer good. */
    NoTicket = "no-ticket",
    /** Another target answers at that address. */
    WrongTarget = "wrong-target",
    /** The target is unhealthy and has done nothing. */
    Unhealthy = "unhealthy",
    /** The target does not understand the order. */
    Invalid = "invalid",
    /** The order has certainly not reached the target. */
    NotSent = "not-sent",
    /** The target may have carried the order out, or may yet do so. */
    Unanswered = "unanswered",
}
