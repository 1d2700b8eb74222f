import type { AdmissionState } from "./admission-state.js";
import type { PoolAdmission } from "./pool-admission.js";
import { TargetAvailability } from "./target-availability.js";

/**
 * Counts the slots of a pool that this entry may use on ready targets.
 * @param state - the entry's admission state
 * @param pool - admission state of the pool
 * @returns the number of slots
 */
export function countAllowedSlots(state: AdmissionState, pool: PoolAdmission): number {
    let slots = 0;
    for (const vm of pool.targets) {
        const target = state.targets.get(vm);
        slots += target?.state === TargetAvailability.Ready ? target.allowed : 0;
    }
    return slots;
}
