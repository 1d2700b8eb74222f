/** Outcome of a client's request for a job or queue. */
export enum JobOutcome {
    /** The job is stored in the replicated log. */
    Accepted = "accepted",
    /** The reply contains the state of the job. */
    State = "state",
    Cancelled = "cancelled",
    /** The reply contains the number of waiting jobs. */
    Pending = "pending",
    /** The job does not exist, or no longer exists. */
    Gone = "gone",
    /** The queue does not exist. */
    NoQueue = "no-queue",
    /** The key is unknown. */
    Unauthorized = "unauthorized",
    /** The request is malformed or cannot be fulfilled, regardless of the load. */
    Invalid = "invalid",
    /** Rejected because of the load; the request has not run and will not run. */
    Refused = "refused",
    /**
     * Rejected because no keeper can accept requests at present, for example without an active leader; the request has
     * not run and will not run.
     */
    Unavailable = "unavailable",
    /** The request may or may not have been accepted. Sending the same request again is safe. */
    Unknown = "unknown",
}
