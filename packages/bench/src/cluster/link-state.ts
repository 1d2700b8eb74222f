/** What a link between processes does. */
export enum LinkState {
    Open = "open",
    /** Connections are closed and new ones refused. */
    Cut = "cut",
    /** Connections that are open stay so and carry nothing. */
    Silent = "silent",
}
