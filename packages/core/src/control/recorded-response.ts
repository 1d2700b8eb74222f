/** A target's response, kept for clients that repeat an unrepeatable request. */
export interface RecordedResponse {
    readonly status: number;
    readonly contentType: string;
    /** Base64; `undefined` when the body was too large to keep. */
    readonly body?: string | undefined;
}
