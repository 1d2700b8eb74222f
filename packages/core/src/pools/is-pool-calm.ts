import type { PoolView } from "./pool-view.js";

/** Use below which a pool counts as calm, as a share of its capacity. */
const calmShare = 0.5;

/**
 * Tells whether a pool has far more than it needs.
 * @param pool - the pool
 * @returns true when nothing waits and less than half is in use
 */
export function isPoolCalm(pool: Pick<PoolView, "capacity" | "used" | "wanted">): boolean {
    return pool.wanted === 0 && pool.used <= pool.capacity * calmShare;
}
