/** Bounds retries to a part of the requests, so that they can't multiply an overload. */
export interface RetryBudget {
    tokens: number;
}
