/** Size of the retry budget. */
export const retryBudgetLimits = {
    /** Retries that each request adds to the budget. */
    tokensPerRequest: 0.2,
    maxTokens: 100,
} as const;
