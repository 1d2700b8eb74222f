/** The three answers to a request. */
export enum RequestOutcome {
    /** The target's whole answer. */
    Answer = "answer",
    /** A refusal: nothing was or will be run. */
    NotRun = "not-run",
    /** The request may have run. */
    OutcomeUnknown = "outcome-unknown",
}
