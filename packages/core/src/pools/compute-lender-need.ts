import type { CountedDemand } from "./counted-demand.js";
import type { PoolForecast } from "./pool-forecast.js";

/** Highest utilization that a lending pool may have after it has lent a VM. */
const maxLenderUtilization = 0.85;

/**
 * Computes the capacity that a pool does not lend: its reserve, its demand (of waiting tasks too) and the forecast of it.
 * @param pool - the pool
 * @param demand - its demand that counts
 * @param minCapacity - the capacity that the pool keeps in any case, thousandths of a core
 * @returns thousandths of a core
 */
export function computeLenderNeed(
    { reserve }: Pick<PoolForecast, "reserve">,
    { current, expected }: CountedDemand,
    minCapacity: number,
): number {
    return Math.max(reserve, minCapacity, Math.max(current, expected) / maxLenderUtilization);
}
