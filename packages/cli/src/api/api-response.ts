/** An answer of the operators' API. */
export interface ApiResponse {
    readonly status: number;
    readonly body: Record<string, unknown>;
}
