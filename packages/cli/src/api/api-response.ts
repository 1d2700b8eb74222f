/** A response of the operator API; the body is empty when it is not JSON. */
export interface ApiResponse {
    readonly status: number;
    readonly body: Record<string, unknown>;
}
