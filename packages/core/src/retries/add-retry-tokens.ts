import { retryBudgetLimits } from "./retry-budget-limits.js";
import type { RetryBudget } from "./retry-budget.js";

/**
 * Adds the tokens for one request to the budget, up to its maximum.
 * @param budget - the budget
 */
export function addRetryTokens(budget: RetryBudget): void {
    budget.tokens = Math.min(retryBudgetLimits.maxTokens, budget.tokens + retryBudgetLimits.tokensPerRequest);
}
