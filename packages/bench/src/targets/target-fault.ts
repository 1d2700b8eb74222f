/** What a stand-in target does wrong. */
export enum TargetFault {
    None = "none",
    /** Answers every request at once with an error. */
    Fail = "fail",
    /** Takes requests and never answers. */
    Stall = "stall",
    /** Closes the connection in the middle of an answer. */
    Truncate = "truncate",
    /** Answers with the mark of another request. */
    WrongDispatchId = "cross",
    /** Ignores what comes on the connections that are open now; new ones work. */
    SilentConnections = "silent-connections",
    /** Answers long after it was asked. */
    Late = "late",
}
