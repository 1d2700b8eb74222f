import { retryBudgetLimits } from "./retry-budget-limits.js";
import type { RetryBudget } from "./retry-budget.js";

/**
 * Adds to the budget what one more request allows.
 * @param budget - the budget
 */
export function addRetryTokens(budget: RetryBudget): void {
    budget.tokens = Math.min(retryBudgetLimits.maxTokens, budget.tokens + retryBudgetLimits.tokensPerRequest);
}
