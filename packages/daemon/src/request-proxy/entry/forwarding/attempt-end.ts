/** How one attempt at a target ended. */
export enum AttemptEnd {
    /** The caller got the target's whole answer. */
    Answered = "answered",
    /** The target certainly did not run the request. */
    NotRun = "not-run",
    /** The target answered with an error of its own, which was not passed on because another target may do better. */
    ErrorResponse = "error-answer",
    /** The request may have run, and no part of an answer went to the caller. */
    Unknown = "unknown",
    /** The answer broke off after a part of it went to the caller. */
    ResponseTruncated = "broken-off",
    /** The caller went away. */
    CallerDisconnected = "caller-gone",
}
