/** Outcome of submitting a job. */
export enum SubmitJobOutcome {
    Accepted = "accepted",
    /** A job with the same id, account and queue was accepted before. */
    Repeated = "repeated",
    /** The id is used by a job of another account or queue. */
    Taken = "taken",
    /** The active configuration has no such queue. */
    NoQueue = "no-queue",
}
