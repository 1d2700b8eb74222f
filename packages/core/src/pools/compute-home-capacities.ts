import type { FleetState } from "../fleet/fleet-state.js";
import type { VmCapacityIndex } from "./vm-capacity-index.js";

/**
 * Computes the capacity of the VMs whose home is a pool, wherever they are now.
 * @param fleet - the fleet state
 * @param index - index of the fleet's targets by VM
 * @returns millicores by pool; a pool without such VMs has no entry
 */
export function computeHomeCapacities(fleet: FleetState, index: VmCapacityIndex): Map<string, number> {
    const capacities = new Map<string, number>();
    const addCpu = (pool: string, cpu: number) => capacities.set(pool, (capacities.get(pool) ?? 0) + cpu);
    for (const { vm, pool, capacity } of fleet.targets.values()) {
        if ((fleet.vmHomes.get(vm) ?? pool) === pool) {
            addCpu(pool, capacity.cpu);
        }
    }
    for (const [vm, home] of fleet.vmHomes) {
        if (!index.isInPool(vm, home)) {
            addCpu(home, index.readCpu(vm));
        }
    }
    return capacities;
}
