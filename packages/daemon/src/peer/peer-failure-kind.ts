/** Why a call to another process failed. */
export enum PeerFailureKind {
    /** No connection could be established, or it was lost; in the latter case the call may have taken effect. */
    Unreachable = "unreachable",
    /** No reply arrived in time; the call may have taken effect. */
    TimedOut = "timed-out",
    /** No leader is known, or the leader does not hold a valid leader lease. */
    NoLeader = "no-leader",
    /** The two processes have different cluster secrets. */
    Unauthenticated = "unauthenticated",
    /** The other process failed to handle the call. */
    Internal = "internal",
}
