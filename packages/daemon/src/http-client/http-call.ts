/** One HTTP request to another process. */
export interface HttpCall {
    /** IP address and port. */
    readonly address: string;
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer | undefined;
    /** Whether no response is needed: on a channel, the call then succeeds once it is handed to the network. */
    readonly isOneWay?: boolean;
    /** Time limit for the complete response, milliseconds. */
    readonly timeoutMs: number;
}
