/** Why a call to another process failed. */
export enum PeerFailureKind {
    /** The process did not get the call. */
    Unreachable = "unreachable",
    /** No answer in time; the call may have had its effect. */
    TimedOut = "timed-out",
    /** No leader is known, or it may not decide now. */
    NoLeader = "no-leader",
    /** The other process does not share the cluster's secret. */
    Unauthenticated = "unauthenticated",
    /** The other process failed. */
    Internal = "internal",
}
