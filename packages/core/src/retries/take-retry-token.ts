import type { RetryBudget } from "./retry-budget.js";

/**
 * Takes one retry out of the budget.
 * @param budget - the budget
 * @returns false when it is used up
 */
export function takeRetryToken(budget: RetryBudget): boolean {
    if (budget.tokens < 1) {
        return false;
    }
    budget.tokens -= 1;
    return true;
}
