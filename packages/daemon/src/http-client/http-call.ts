/** One HTTP request to another process. */
export interface HttpCall {
    /** IP address and port. */
    readonly address: string;
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer | undefined;
    /** Time limit for the complete response, milliseconds. */
    readonly timeoutMs: number;
}
