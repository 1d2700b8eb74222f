/** The complete response to a request. */
export interface HttpResponse {
    readonly status: number;
    readonly body: Buffer;
}
