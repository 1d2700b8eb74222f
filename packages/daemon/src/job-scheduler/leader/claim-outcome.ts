/** What the answer at a claimed address says about the claim. */
export enum ClaimOutcome {
    /** The claimed incarnation answers at the claimed address. */
    Confirmed = "confirmed",
    /** Another target or another incarnation answers there. */
    Refuted = "refuted",
    /** No process could be reached there. */
    Unreachable = "unreachable",
    /** Nothing answers there, or the answer proves nothing. */
    Unanswered = "unanswered",
    /** Not asked: a recent question failed, or too many are in flight. */
    Deferred = "deferred",
}
