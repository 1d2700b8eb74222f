import { TargetAvailability } from "../admission/target-availability.js";
import type { AllocationState } from "../allocation/allocation-state.js";
import { countGranted } from "../allocation/count-granted.js";
import { computeMaxUnavailable } from "./compute-max-unavailable.js";
import type { DisruptionBudget } from "./disruption-budget.js";
import type { MaintenanceVm } from "./maintenance-vm.js";

/** The fleet as maintenance sees it. */
interface MaintenanceView {
    readonly fleet: ReadonlyMap<string, MaintenanceVm>;
    readonly budgets: ReadonlyMap<string, DisruptionBudget>;
}

/**
 * Builds maintenance's view of the fleet from what the leader knows.
 * @param leader - the leader's state
 * @returns VMs and budgets
 */
export function buildMaintenanceView(leader: AllocationState): MaintenanceView {
    const fleet = new Map<string, MaintenanceVm>();
    const sizes = new Map<string, number>();
    for (const { name: vm, value } of leader.tables.objects.vm.values()) {
        const target = leader.targets.get(vm);
        const slots = leader.slots.get(vm);
        sizes.set(value.pool, (sizes.get(value.pool) ?? 0) + 1);
        fleet.set(vm, {
            vm,
            ...value,
            isReady: target?.state === TargetAvailability.Ready,
            isDrained: leader.cordonedTargets.has(vm) && (slots === undefined || countGranted(slots) === 0),
            incarnation: target?.incarnation ?? 0,
        });
    }
    const budgets = new Map<string, DisruptionBudget>();
    for (const { name: pool, value } of leader.tables.objects.pool.values()) {
        const vms = sizes.get(pool) ?? 0;
        budgets.set(pool, { pool, vms, maxUnavailable: computeMaxUnavailable(vms, value.maxUnavailablePercent) });
    }
    return { fleet, budgets };
}
