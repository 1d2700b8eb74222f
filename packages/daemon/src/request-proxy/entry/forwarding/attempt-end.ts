/** How one attempt at a target ended. */
export enum AttemptEnd {
    /** The caller received the whole response of the target. */
    Answered = "answered",
    /** The target certainly did not run the request. */
    NotRun = "not-run",
    /** The target responded with an error, which was not forwarded because another target may succeed. */
    ErrorResponse = "error-answer",
    /** The request may have run, and no part of a response was forwarded. */
    Unknown = "unknown",
    /** The response was truncated after a part of it was forwarded. */
    ResponseTruncated = "broken-off",
    /** The caller disconnected. */
    CallerDisconnected = "caller-gone",
}
