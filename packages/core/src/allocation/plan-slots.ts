import { TargetState } from "../admission/target-state.js";
import { Invariant } from "../invariants/invariant.js";
import { allocationTiming } from "./allocation-timing.js";
import { applyLowering } from "./apply-lowering.js";
import { applyRaise } from "./apply-raise.js";
import { isEntryPlanned } from "./is-entry-planned.js";
import type { LeaderState } from "./leader-state.js";
import { noteSlotChange } from "./note-slot-change.js";
import { openResource } from "./open-resource.js";
import { planPoolSlots } from "./plan-pool-slots.js";
import { planRaises } from "./plan-raises.js";
import type { SlotClaim } from "./slot-claim.js";
import type { SlotSupply } from "./slot-supply.js";

/**
 * Plans the slots of every stale pool and applies what may be applied now.
 * @param state - the leader
 * @param now - monotonic milliseconds
 */
export function planSlots(state: LeaderState, now: number): void {
    addStarving(state, now);
    if (state.stalePools.size === 0) {
        return;
    }
    const vmsByPool = collectTargets(state);
    for (const pool of state.stalePools) {
        const vms = vmsByPool.get(pool) ?? [];
        state.plannedAt.set(pool, now);
        const supplies = listSupplies(state, vms);
        const plan = planPoolSlots(supplies, listClaims(state, pool, vms, now));
        for (const vm of vms) {
            applyPlan(state, vm, plan.get(vm) ?? new Map<string, number>());
        }
    }
    state.stalePools.clear();
}

/** A pool in which requests wait is planned again, but not for every request. */
function addStarving(state: LeaderState, now: number): void {
    for (const pool of state.starvingPools) {
        const plannedAt = state.plannedAt.get(pool) ?? -Infinity;
        if (now - plannedAt >= allocationTiming.replan) {
            state.stalePools.add(pool);
            state.starvingPools.delete(pool);
        }
    }
}

function collectTargets(state: LeaderState): Map<string, string[]> {
    const groups = new Map<string, string[]>();
    for (const vm of state.targets.keys()) {
        const pool = state.tables.objects.vm.get(vm)?.value.pool ?? "";
        const group = groups.get(pool) ?? [];
        group.push(vm);
        groups.set(pool, group);
    }
    return groups;
}

function listSupplies(state: LeaderState, vms: readonly string[]): SlotSupply[] {
    return vms.flatMap(vm => {
        const view = state.targets.get(vm);
        const record = state.tables.objects.vm.get(vm)?.value;
        const isUsable = view !== undefined && record !== undefined && view.state === TargetState.Ready
            && !state.withheld.has(vm);
        return isUsable ? [{ vm, zone: record.zone, slots: view.slots }] : [];
    });
}

function listClaims(state: LeaderState, pool: string, vms: readonly string[], now: number): SlotClaim[] {
    const claims: SlotClaim[] = [];
    for (const view of state.entries.values()) {
        if (!isEntryPlanned(view, now)) {
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
        claims.push({ holder: view.holder, zone: view.zone, wanted, current });
    }
    return claims;
}

function applyPlan(state: LeaderState, vm: string, plan: Map<string, number>): void {
    const resource = openResource(state.slots, vm);
    const view = state.targets.get(vm);
    const isReady = view?.state === TargetState.Ready && state.tables.objects.vm.has(vm) && !state.withheld.has(vm);
    resource.capacity = isReady ? view.slots : 0;
    for (const holder of resource.grants.keys()) {
        if (!plan.has(holder)) {
            plan.set(holder, 0);
        }
    }
    const isLowered = applyLowering(resource, plan, ++state.sequence);
    if (isLowered) {
        state.unconfirmed.add(vm);
    }
    const raises = planRaises(resource, plan);
    if (isLowered || raises.size > 0) {
        noteSlotChange(state, vm);
    }
    for (const [holder, units] of raises) {
        applyRaise(resource, holder, units, state.sequence, Invariant.SlotsNotExceeded);
    }
}
