import type { TargetRequestResult } from "./target-request-result.js";

/** A target's answer to an order. */
export interface TargetResponse {
    readonly result: TargetRequestResult;
    /** The target's steady clock, milliseconds; absent where it gave none. */
    readonly clockMs: number | undefined;
}
