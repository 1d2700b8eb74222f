/** Response to an operator's request: HTTP status and JSON body. */
export interface OperatorResult {
    readonly status: number;
    readonly body: unknown;
}
