/** What the simulated network does with a request to a target. */
export enum RequestFate {
    /** The request is executed and answered. */
    Answered = "answered",
    /** The connection is refused. */
    Refused = "refused",
    /** The request is neither executed nor answered. */
    Lost = "lost",
    /** The request is executed, but the response is lost. */
    ResponseLost = "response-lost",
    /** The request is executed seconds later, after newer ones, and its response is lost. */
    Late = "late",
}
