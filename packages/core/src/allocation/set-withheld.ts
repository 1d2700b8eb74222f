import type { LeaderState } from "./leader-state.js";

/**
 * Withholds the slots of targets that maintenance takes out.
 * @param state - the leader
 * @param vms - all VMs that are to get no new work
 */
export function setWithheld(state: LeaderState, vms: ReadonlySet<string>): void {
    const changed = new Set([...vms, ...state.withheld].filter(vm => vms.has(vm) !== state.withheld.has(vm)));
    for (const vm of changed) {
        state.stalePools.add(state.tables.objects.vm.get(vm)?.value.pool ?? "");
        if (vms.has(vm)) {
            state.withheld.add(vm);
        }
        else {
            state.withheld.delete(vm);
        }
    }
}
