/** How a call failed. */
export enum CallFailureKind {
    /** No connection came about, so that the other side has seen nothing. */
    NotSent = "not-sent",
    /** The other side may have carried the call out. */
    Unanswered = "unanswered",
}
