/** Answer to an operator's request. */
export interface OperateResult {
    readonly status: number;
    readonly body: unknown;
}
