import type { AllocationState } from "./allocation-state.js";

/**
 * Sets the targets that are cordoned for maintenance. Their slots are not granted to any entry.
 * @param state - the leader's allocation state
 * @param vms - VMs of all cordoned targets
 */
export function setCordonedTargets(state: AllocationState, vms: ReadonlySet<string>): void {
    const changed = new Set(
        [...vms, ...state.cordonedTargets].filter(vm => vms.has(vm) !== state.cordonedTargets.has(vm)),
    );
    for (const vm of changed) {
        state.stalePools.add(state.tables.objects.vm.get(vm)?.value.pool ?? "");
        if (vms.has(vm)) {
            state.cordonedTargets.add(vm);
        }
        else {
            state.cordonedTargets.delete(vm);
        }
    }
}
