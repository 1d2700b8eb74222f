/** Why no task may be started on a target; also the name of a field of the log and the value of a metric label. */
export enum TargetExclusion {
    /** The target has reported that it leaves. */
    Draining = "draining",
    /** Its VM is being maintained or moved. */
    Cordoned = "cordoned",
    /** No lease renewal of this leadership has succeeded, or the ended runs that it listed are not committed. */
    Unsynced = "unsynced",
    /** It lists runs that are not recorded there and that are being stopped. */
    Unrecorded = "unrecorded",
    /** It left requests unanswered. */
    Unreachable = "unreachable",
    /** A reachability check is in flight. */
    Checking = "checking",
    /** It refused a start, or left one unanswered, a moment ago. */
    Backoff = "backoff",
    /** Its heartbeats are overdue. */
    Overdue = "overdue",
    /** Its circuit breaker admits no further task. */
    Ejected = "ejected",
}
