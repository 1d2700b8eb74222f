/** How far a run had come, as far as the leader knows, when its target crashed. */
export enum RunProgress {
    /** No request to start it had been sent. */
    Unsent = "unsent",
    /** A request had been sent, but the target had not confirmed the start. */
    Unconfirmed = "unconfirmed",
    /** The target had confirmed the start only shortly before. */
    OnProbation = "on-probation",
    /** The target was seen to run it for some time after the start. */
    Settled = "settled",
}
