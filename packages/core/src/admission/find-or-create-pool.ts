import type { AdmissionState } from "./admission-state.js";
import type { PoolAdmission } from "./pool-admission.js";

/** Mean service time that is assumed before the first request ends, milliseconds. */
const initialServiceMs = 50;

/**
 * Returns the admission state of a pool. Creates it on first use.
 * @param state - the entry's admission state
 * @param name - name of the pool
 * @returns the admission state of the pool
 */
export function findOrCreatePool(state: AdmissionState, name: string): PoolAdmission {
    let pool = state.pools.get(name);
    if (pool === undefined) {
        pool = { name, queues: new Map(), targets: new Set(), meanServiceMs: initialServiceMs, roundRobinPosition: 0 };
        state.pools.set(name, pool);
    }
    return pool;
}
