/** A token bucket that limits retries to a fraction of the requests, so that they cannot amplify an overload. */
export interface RetryBudget {
    /** Tokens left; a retry takes one. May be a fraction. */
    tokens: number;
}
