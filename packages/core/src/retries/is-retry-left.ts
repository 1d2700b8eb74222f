import type { RetryBudget } from "./retry-budget.js";

/**
 * Tells whether the budget allows one more retry.
 * @param budget - the budget
 * @returns true when it does
 */
export function isRetryLeft(budget: RetryBudget): boolean {
    return budget.tokens >= 1;
}
