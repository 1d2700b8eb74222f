import type { AllocationState } from "./allocation-state.js";

/**
 * Removes a target from the unconfirmed targets when every holder has confirmed its decreased allowance.
 * @param state - the leader's allocation state
 * @param vm - VM of the target
 */
export function updateUnconfirmedTarget(state: AllocationState, vm: string): void {
    const grants = [...state.slots.get(vm)?.grants.values() ?? []];
    if (grants.every(grant => grant.ceiling <= grant.allowed)) {
        state.unconfirmedTargets.delete(vm);
    }
}
