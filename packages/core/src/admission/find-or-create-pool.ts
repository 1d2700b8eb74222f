import type { AdmissionState } from "./admission-state.js";
import type { PoolAdmission } from "./pool-admission.js";

const initialServiceMs = 50;

/**
 * Returns the admission of a pool, made on first use.
 * @param state - the entry
 * @param name - name of the pool
 * @returns its admission
 */
export function findOrCreatePool(state: AdmissionState, name: string): PoolAdmission {
    let pool = state.pools.get(name);
    if (pool === undefined) {
        pool = { name, queues: new Map(), targets: new Set(), meanServiceMs: initialServiceMs, roundRobinPosition: 0 };
        state.pools.set(name, pool);
    }
    return pool;
}
