import type { RetryBudget } from "./retry-budget.js";

/**
 * Tells whether the budget allows one more retry.
 * @param budget - the budget
 * @returns true when a token is left
 */
export function isRetryLeft(budget: RetryBudget): boolean {
    return budget.tokens >= 1;
}
