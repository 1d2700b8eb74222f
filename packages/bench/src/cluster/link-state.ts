/** State of a network link between processes. */
export enum LinkState {
    /** Connections are forwarded. */
    Open = "open",
    /** Existing connections are closed and new ones are closed on arrival. */
    Cut = "cut",
    /** Existing connections stay open but forward no data; new ones are forwarded. */
    HalfOpen = "silent",
}
