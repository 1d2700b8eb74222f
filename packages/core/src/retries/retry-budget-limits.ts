/** Limits of the retry budget. */
export const retryBudgetLimits = {
    /** Tokens that each request adds to the budget; a retry takes one. */
    tokensPerRequest: 0.2,
    /** Bounds the burst of retries after a period without failures. */
    maxTokens: 100,
} as const;
