/** Header fields of the HTTP interfaces, in lower case as in the headers object of Node.js. */
export enum HeaderName {
    RequestId = "daisylock-request-id",
    /** `true` if the request must not run more than once. */
    Unrepeatable = "daisylock-unrepeatable",
    /** `true` if the request should be preferred to waiting requests that are not urgent. */
    Urgent = "daisylock-urgent",
    /** Deadline of the request, in milliseconds after its receipt. */
    DeadlineMs = "daisylock-deadline-ms",
    /** Outcome that the response states; see RequestOutcome. */
    Outcome = "daisylock-outcome",
    /** Identifies one dispatch of a request to a target, which returns it in the response. */
    DispatchId = "daisylock-dispatch-id",
    /** Name of the team that sent the request; set on requests to targets. */
    Team = "daisylock-team",
    /** Set by a target to state that it has not run the request. */
    NotRun = "daisylock-not-run",
    /** Idempotency key of an operator's change, which makes resending it safe. */
    ChangeId = "daisylock-change-id",
}
