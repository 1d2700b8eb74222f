/** Outcome of submitting a job. */
export enum SubmitJobOutcome {
    Accepted = "accepted",
    /** A job with the same id, account and queue was accepted before. */
    AlreadyAccepted = "repeated",
    /** The id is used by a job of another account or queue. */
    IdInUse = "taken",
    /** The active configuration has no such queue. */
    UnknownQueue = "no-queue",
}
