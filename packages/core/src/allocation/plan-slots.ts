import { TargetAvailability } from "../admission/target-availability.js";
import { Invariant } from "../invariants/invariant.js";
import type { AllocationState } from "./allocation-state.js";
import { allocationTiming } from "./allocation-timing.js";
import { applyDecreases } from "./apply-decreases.js";
import { applyIncrease } from "./apply-increase.js";
import { findOrCreateResource } from "./find-or-create-resource.js";
import { isEntryEligible } from "./is-entry-eligible.js";
import { planIncreases } from "./plan-increases.js";
import { planPoolSlots } from "./plan-pool-slots.js";
import { recordSlotChange } from "./record-slot-change.js";
import type { SlotDemand } from "./slot-demand.js";
import type { SlotSupply } from "./slot-supply.js";

/**
 * Replans the slots of every stale pool. Applies all decreases, and the increases that fit the free capacity.
 * @param state - the leader's allocation state
 * @param now - monotonic milliseconds
 */
export function planSlots(state: AllocationState, now: number): void {
    addBackloggedPools(state, now);
    if (state.stalePools.size === 0) {
        return;
    }
    const vmsByPool = collectTargets(state);
    for (const pool of state.stalePools) {
        const vms = vmsByPool.get(pool) ?? [];
        state.plannedAt.set(pool, now);
        const supplies = listSupplies(state, vms);
        const plan = planPoolSlots(supplies, listSlotDemands(state, pool, vms, now));
        for (const vm of vms) {
            applyPlan(state, vm, plan.get(vm) ?? new Map<string, number>());
        }
    }
    state.stalePools.clear();
}

/** Marks pools with waiting requests as stale, each at most once per `minReplanIntervalMs`. */
function addBackloggedPools(state: AllocationState, now: number): void {
    for (const pool of state.backloggedPools) {
        const plannedAt = state.plannedAt.get(pool) ?? -Infinity;
        if (now - plannedAt >= allocationTiming.minReplanIntervalMs) {
            state.stalePools.add(pool);
            state.backloggedPools.delete(pool);
        }
    }
}

function collectTargets(state: AllocationState): Map<string, string[]> {
    const vmsByPool = new Map<string, string[]>();
    for (const vm of state.targets.keys()) {
        const pool = state.tables.objects.vm.get(vm)?.value.pool ?? "";
        const vms = vmsByPool.get(pool) ?? [];
        vms.push(vm);
        vmsByPool.set(pool, vms);
    }
    return vmsByPool;
}

function listSupplies(state: AllocationState, vms: readonly string[]): SlotSupply[] {
    return vms.flatMap(vm => {
        const view = state.targets.get(vm);
        const record = state.tables.objects.vm.get(vm)?.value;
        const isUsable = view !== undefined && record !== undefined && view.state === TargetAvailability.Ready
            && !state.cordonedTargets.has(vm);
        return isUsable ? [{ vm, zone: record.zone, slots: view.slots }] : [];
    });
}

function listSlotDemands(state: AllocationState, pool: string, vms: readonly string[], now: number): SlotDemand[] {
    const demands: SlotDemand[] = [];
    for (const view of state.entries.values()) {
        if (!isEntryEligible(view, now)) {
            continue;
        }
        const current = new Map<string, number>();
        for (const vm of vms) {
            const allowed = state.slots.get(vm)?.grants.get(view.holder)?.allowed ?? 0;
            if (allowed > 0) {
                current.set(vm, allowed);
            }
        }
        const wanted = view.poolDemand.get(pool)?.peak ?? 0;
        demands.push({ holder: view.holder, zone: view.zone, wanted, current });
    }
    return demands;
}

function applyPlan(state: AllocationState, vm: string, plan: Map<string, number>): void {
    const resource = findOrCreateResource(state.slots, vm);
    const view = state.targets.get(vm);
    const isReady = view?.state === TargetAvailability.Ready && state.tables.objects.vm.has(vm)
        && !state.cordonedTargets.has(vm);
    resource.capacity = isReady ? view.slots : 0;
    for (const holder of resource.grants.keys()) {
        if (!plan.has(holder)) {
            plan.set(holder, 0);
        }
    }
    const isDecreased = applyDecreases(resource, plan, ++state.sequence);
    if (isDecreased) {
        state.unconfirmedTargets.add(vm);
    }
    const increases = planIncreases(resource, plan);
    if (isDecreased || increases.size > 0) {
        recordSlotChange(state, vm);
    }
    for (const [holder, units] of increases) {
        applyIncrease(resource, holder, units, state.sequence, Invariant.SlotsNotExceeded);
    }
}
