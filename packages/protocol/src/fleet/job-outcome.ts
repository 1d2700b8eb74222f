/** The answer to a caller's request about jobs. */
export enum JobOutcome {
    /** The job is stored. */
    Accepted = "accepted",
    /** The state of the job follows. */
    State = "state",
    Cancelled = "cancelled",
    /** The number of waiting jobs follows. */
    Pending = "pending",
    /** No such job. */
    Gone = "gone",
    /** No such queue. */
    NoQueue = "no-queue",
    /** The key is unknown. */
    Unauthorized = "unauthorized",
    /** The request can't be understood or carried out, whatever the load. */
    Invalid = "invalid",
    /** Not accepted, and never run, because of the load. */
    Refused = "refused",
    /** Not accepted, and never run, because nobody can decide now. */
    Unavailable = "unavailable",
    /** Whether it was accepted is not known; the same request again is safe. */
    Unknown = "unknown",
}
