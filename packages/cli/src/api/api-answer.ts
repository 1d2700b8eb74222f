/** An answer of the operators' API. */
export interface ApiAnswer {
    readonly status: number;
    readonly body: Record<string, unknown>;
}
