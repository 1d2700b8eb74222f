/** What became of a job that was handed in. */
export enum SubmitJobOutcome {
    Accepted = "accepted",
    /** The same id of the same account and queue was accepted before. */
    Repeated = "repeated",
    /** The id belongs to a job of another account or queue. */
    Taken = "taken",
    NoQueue = "no-queue",
}
