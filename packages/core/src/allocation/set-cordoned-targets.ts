import type { AllocationState } from "./allocation-state.js";

/**
 * Withholds the slots of targets that maintenance takes out.
 * @param state - the leader
 * @param vms - all VMs that are to get no new work
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
