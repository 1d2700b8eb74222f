import type { DisruptionBudget } from "./disruption-budget.js";
import { isStepUnavailable } from "./is-step-unavailable.js";
import type { MaintenanceVm } from "./maintenance-vm.js";
import { VmStep } from "./vm-step.js";
import type { Wave } from "./wave.js";

/** Budget from which on a part of it is kept for failures during the wave. */
const minBudgetForReserve = 3;
/** Part of the budget that is kept for them. */
const reserveFraction = 0.2;

/**
 * Picks the VMs that a wave takes out now. VMs of racks that are partly out already go first, so that a rack that fails
 * takes down as few others as possible, then racks with the most VMs left.
 * @param wave - the wave
 * @param fleet - the VMs
 * @param budgets - budget by pool
 * @param unavailable - VMs that are out of service for whatever reason
 * @returns VMs to drain
 */
export function pickVmsToDrain(
    wave: Wave,
    fleet: ReadonlyMap<string, MaintenanceVm>,
    budgets: ReadonlyMap<string, DisruptionBudget>,
    unavailable: ReadonlySet<string>,
): string[] {
    const left = computeRemainingBudgets(fleet, budgets, unavailable);
    const waiting = listWaiting(wave, fleet);
    const ranks = computeRackPriorities(wave, fleet, waiting);
    waiting.sort((a, b) => (ranks.get(b.rack) ?? 0) - (ranks.get(a.rack) ?? 0) || (a.vm < b.vm ? -1 : 1));
    const picked: string[] = [];
    for (const { vm, pool } of waiting) {
        const room = left.get(pool) ?? 0;
        // A VM that is down already costs nothing more.
        const cost = unavailable.has(vm) ? 0 : 1;
        if (room >= cost && (room > 0 || cost === 0)) {
            left.set(pool, room - cost);
            picked.push(vm);
        }
    }
    return picked;
}

function listWaiting(wave: Wave, fleet: ReadonlyMap<string, MaintenanceVm>): MaintenanceVm[] {
    const waiting: MaintenanceVm[] = [];
    for (const [vm, { step }] of wave.vms) {
        const seen = step === VmStep.Waiting ? fleet.get(vm) : undefined;
        if (seen !== undefined) {
            waiting.push(seen);
        }
    }
    return waiting;
}

function computeRemainingBudgets(
    fleet: ReadonlyMap<string, MaintenanceVm>,
    budgets: ReadonlyMap<string, DisruptionBudget>,
    unavailable: ReadonlySet<string>,
): Map<string, number> {
    const out = new Map<string, number>();
    for (const vm of unavailable) {
        const pool = fleet.get(vm)?.pool ?? "";
        out.set(pool, (out.get(pool) ?? 0) + 1);
    }
    const room = new Map<string, number>();
    for (const { pool, maxUnavailable } of budgets.values()) {
        const reserve = maxUnavailable >= minBudgetForReserve ? Math.ceil(maxUnavailable * reserveFraction) : 0;
        room.set(pool, Math.max(0, maxUnavailable - reserve - (out.get(pool) ?? 0)));
    }
    return room;
}

function computeRackPriorities(
    wave: Wave,
    fleet: ReadonlyMap<string, MaintenanceVm>,
    waiting: readonly MaintenanceVm[],
): Map<string, number> {
    const startedWeight = 1_000;
    const ranks = new Map<string, number>();
    for (const { rack } of waiting) {
        ranks.set(rack, (ranks.get(rack) ?? 0) + 1);
    }
    for (const [vm, { step }] of wave.vms) {
        const rack = fleet.get(vm)?.rack ?? "";
        if (isStepUnavailable(step) || step === VmStep.Probation) {
            ranks.set(rack, (ranks.get(rack) ?? 0) + startedWeight);
        }
    }
    return ranks;
}
