import { TargetState } from "../admission/target-state.js";
import { countGranted } from "../allocation/count-granted.js";
import type { LeaderState } from "../allocation/leader-state.js";
import { computeBudget } from "./compute-budget.js";
import type { FleetVm } from "./fleet-vm.js";
import type { PoolBudget } from "./pool-budget.js";

/** The fleet as maintenance sees it. */
interface Fleet {
    readonly fleet: ReadonlyMap<string, FleetVm>;
    readonly budgets: ReadonlyMap<string, PoolBudget>;
}

/**
 * Builds maintenance's view of the fleet from what the leader knows.
 * @param leader - the leader's state
 * @returns VMs and budgets
 */
export function buildFleet(leader: LeaderState): Fleet {
    const fleet = new Map<string, FleetVm>();
    const sizes = new Map<string, number>();
    for (const { name: vm, value } of leader.tables.objects.vm.values()) {
        const target = leader.targets.get(vm);
        const slots = leader.slots.get(vm);
        sizes.set(value.pool, (sizes.get(value.pool) ?? 0) + 1);
        fleet.set(vm, {
            vm,
            ...value,
            isReady: target?.state === TargetState.Ready,
            isDrained: leader.withheld.has(vm) && (slots === undefined || countGranted(slots) === 0),
            incarnation: target?.incarnation ?? 0,
        });
    }
    const budgets = new Map<string, PoolBudget>();
    for (const { name: pool, value } of leader.tables.objects.pool.values()) {
        const vms = sizes.get(pool) ?? 0;
        budgets.set(pool, { pool, vms, maxUnavailable: computeBudget(vms, value.maxUnavailablePercent) });
    }
    return { fleet, budgets };
}
