import type { AdmissionState } from "./admission-state.js";
import type { PoolAdmission } from "./pool-admission.js";
import { TargetAvailability } from "./target-availability.js";

/**
 * Counts the slots of a pool that this entry may use on targets that take work.
 * @param state - the entry
 * @param pool - the pool
 * @returns number of slots
 */
export function countAllowedSlots(state: AdmissionState, pool: PoolAdmission): number {
    let slots = 0;
    for (const vm of pool.targets) {
        const target = state.targets.get(vm);
        slots += target?.state === TargetAvailability.Ready ? target.allowed : 0;
    }
    return slots;
}
