import type { AllocationState } from "./allocation-state.js";

/**
 * Takes a target off the list of those with unconfirmed allowances, if every holder has confirmed.
 * @param state - the leader
 * @param vm - the target
 */
export function updateUnconfirmedTarget(state: AllocationState, vm: string): void {
    const grants = [...state.slots.get(vm)?.grants.values() ?? []];
    if (grants.every(grant => grant.ceiling <= grant.allowed)) {
        state.unconfirmedTargets.delete(vm);
    }
}
