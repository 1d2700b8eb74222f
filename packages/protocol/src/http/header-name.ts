/** Header fields of the system's HTTP interfaces, in lower case as Node gives them. */
export enum HeaderName {
    RequestId = "daisylock-request-id",
    Unrepeatable = "daisylock-unrepeatable",
    Urgent = "daisylock-urgent",
    /** Milliseconds from now within which the caller wants the answer. */
    DeadlineMs = "daisylock-deadline-ms",
    /** Which of the three answers a response is. */
    Outcome = "daisylock-outcome",
    /** Names one dispatch of a request to a target, which echoes it. */
    DispatchId = "daisylock-dispatch-id",
    Team = "daisylock-team",
    /** A target sets it to say that it certainly did not run the request. */
    NotRun = "daisylock-not-run",
    /** An operator's id for a change, so that resending it is safe. */
    ChangeId = "daisylock-change-id",
}
