import type { RetryBudget } from "./retry-budget.js";

/**
 * Takes the token for one retry from the budget.
 * @param budget - the budget
 * @returns false when the budget is exhausted
 */
export function takeRetryToken(budget: RetryBudget): boolean {
    if (budget.tokens < 1) {
        return false;
    }
    budget.tokens -= 1;
    return true;
}
