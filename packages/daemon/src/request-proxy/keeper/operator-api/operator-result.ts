/** Answer to an operator's request. */
export interface OperatorResult {
    readonly status: number;
    readonly body: unknown;
}
