/** Faults that a fake target can inject. */
export enum TargetFault {
    None = "none",
    /** Responds to every request immediately with status 500. */
    Fail = "fail",
    /** Accepts requests and never responds. */
    Stall = "stall",
    /** Closes the connection in the middle of the response body. */
    Truncate = "truncate",
    /** Responds with a dispatch id that does not match the request. */
    WrongDispatchId = "cross",
    /** Ignores requests on connections that are open when the fault is set; new connections work. */
    HalfOpenConnections = "silent-connections",
    /** Responds several seconds late. */
    Late = "late",
}
