/** Outcome of a request, as stated in its response. */
export enum RequestOutcome {
    /** The response is that of the target. */
    Answer = "answer",
    /** The request was refused. It has not run and will not run. */
    NotRun = "not-run",
    /** The request may or may not have run. */
    OutcomeUnknown = "outcome-unknown",
}
