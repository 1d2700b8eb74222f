import type { RetryBudget } from "./retry-budget.js";
import { retryLimits } from "./retry-limits.js";

/**
 * Adds to the budget what one more request allows.
 * @param budget - the budget
 */
export function noteRequest(budget: RetryBudget): void {
    budget.tokens = Math.min(retryLimits.maxTokens, budget.tokens + retryLimits.tokensPerRequest);
}
