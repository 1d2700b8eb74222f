/** The complete response to a request. */
export interface HttpReply {
    readonly status: number;
    readonly body: Buffer;
}
