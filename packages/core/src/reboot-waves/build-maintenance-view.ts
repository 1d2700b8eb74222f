import { TargetAvailability } from "../admission/target-availability.js";
import type { AllocationState } from "../allocation/allocation-state.js";
import { countGranted } from "../allocation/count-granted.js";
import { computeMaxUnavailable } from "./compute-max-unavailable.js";
import type { DisruptionBudget } from "./disruption-budget.js";
import type { MaintenanceVm } from "./maintenance-vm.js";

/** The VMs and disruption budgets that waves are planned with. */
interface MaintenanceView {
    /** VMs by name. */
    readonly fleet: ReadonlyMap<string, MaintenanceVm>;
    /** Disruption budgets by pool. */
    readonly budgets: ReadonlyMap<string, DisruptionBudget>;
}

/**
 * Builds the input for planning waves from the leader's allocation state.
 * @param state - the leader's allocation state
 * @returns all VMs of the tables and the disruption budgets of all pools
 */
export function buildMaintenanceView(state: AllocationState): MaintenanceView {
    const fleet = new Map<string, MaintenanceVm>();
    const vmCounts = new Map<string, number>();
    for (const { name: vm, value } of state.tables.objects.vm.values()) {
        const target = state.targets.get(vm);
        const slots = state.slots.get(vm);
        vmCounts.set(value.pool, (vmCounts.get(value.pool) ?? 0) + 1);
        fleet.set(vm, {
            vm,
            ...value,
            isReady: target?.state === TargetAvailability.Ready,
            isDrained: state.cordonedTargets.has(vm) && (slots === undefined || countGranted(slots) === 0),
            incarnation: target?.incarnation ?? 0,
        });
    }
    const budgets = new Map<string, DisruptionBudget>();
    for (const { name: pool, value } of state.tables.objects.pool.values()) {
        const vms = vmCounts.get(pool) ?? 0;
        budgets.set(pool, { pool, vms, maxUnavailable: computeMaxUnavailable(vms, value.maxUnavailablePercent) });
    }
    return { fleet, budgets };
}
