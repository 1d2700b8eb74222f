/** A target's answer that is kept for callers who ask again. */
export interface RecordedResponse {
    readonly status: number;
    readonly contentType: string;
    /** Base64; `undefined` when the body was too large to keep. */
    readonly body?: string | undefined;
}
