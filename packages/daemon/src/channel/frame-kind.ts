/** Kind of a frame on a channel between two processes. */
export enum FrameKind {
    Request = 1,
    Response = 2,
    /** Asks the other process to show that it responds. */
    Ping = 3,
    Pong = 4,
    /** A request without a response. */
    Notice = 5,
    /** A notice whose body is deflated (RFC 1951). */
    DeflatedNotice = 6,
}
