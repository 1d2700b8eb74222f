/** Reply of a relay to one request. */
export interface RelayReply {
    /** Status, as in HTTP. */
    readonly status: number;
    /** The response of the target, not checked yet; `undefined` when there is none. */
    readonly content: unknown;
}
