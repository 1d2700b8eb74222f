import type { OrderResult } from "./order-result.js";

/** A target's answer to an order. */
export interface OrderAnswer {
    readonly result: OrderResult;
    /** The target's steady clock, milliseconds; absent where it gave none. */
    readonly clockMs: number | undefined;
}
