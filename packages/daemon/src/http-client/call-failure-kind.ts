/** How a call failed. */
export enum CallFailureKind {
    /** No connection was established, so the server has not received the request. */
    NotSent = "not-sent",
    /** No complete response was received; the server may have processed the request. */
    Unanswered = "unanswered",
    /** The server does not know the call, and has done nothing. */
    Unsupported = "unsupported",
}
