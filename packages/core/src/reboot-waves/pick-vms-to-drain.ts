import type { DisruptionBudget } from "./disruption-budget.js";
import { isStepUnavailable } from "./is-step-unavailable.js";
import type { MaintenanceVm } from "./maintenance-vm.js";
import { VmStep } from "./vm-step.js";
import type { Wave } from "./wave.js";

/** Smallest disruption budget from which a fraction is reserved; smaller budgets are used whole. */
const minBudgetForReserve = 3;
/** Fraction of the disruption budget that is reserved for VMs that fail during the wave. */
const reserveFraction = 0.2;

/**
 * Picks the VMs that a wave drains now. Racks with VMs that the wave is already maintaining come first, so that the
 * failure of a rack takes down as few additional VMs as possible, then racks with the most waiting VMs.
 * @param wave - the wave
 * @param fleet - all VMs by name
 * @param budgets - disruption budgets by pool
 * @param unavailable - VMs that are unavailable for any reason
 * @returns names of the VMs to drain
 */
export function pickVmsToDrain(
    wave: Wave,
    fleet: ReadonlyMap<string, MaintenanceVm>,
    budgets: ReadonlyMap<string, DisruptionBudget>,
    unavailable: ReadonlySet<string>,
): string[] {
    const remainingBudgets = computeRemainingBudgets(fleet, budgets, unavailable);
    const waiting = listWaiting(wave, fleet);
    const rackPriorities = computeRackPriorities(wave, fleet, waiting);
    waiting.sort((a, b) =>
        (rackPriorities.get(b.rack) ?? 0) - (rackPriorities.get(a.rack) ?? 0) || (a.vm < b.vm ? -1 : 1)
    );
    const picked: string[] = [];
    for (const { vm, pool } of waiting) {
        const budget = remainingBudgets.get(pool) ?? 0;
        // A VM that is already unavailable does not use additional budget.
        const cost = unavailable.has(vm) ? 0 : 1;
        if (budget >= cost && (budget > 0 || cost === 0)) {
            remainingBudgets.set(pool, budget - cost);
            picked.push(vm);
        }
    }
    return picked;
}

function listWaiting(wave: Wave, fleet: ReadonlyMap<string, MaintenanceVm>): MaintenanceVm[] {
    const waiting: MaintenanceVm[] = [];
    for (const [vm, { step }] of wave.vms) {
        const current = step === VmStep.Waiting ? fleet.get(vm) : undefined;
        if (current !== undefined) {
            waiting.push(current);
        }
    }
    return waiting;
}

function computeRemainingBudgets(
    fleet: ReadonlyMap<string, MaintenanceVm>,
    budgets: ReadonlyMap<string, DisruptionBudget>,
    unavailable: ReadonlySet<string>,
): Map<string, number> {
    const unavailableCounts = new Map<string, number>();
    for (const vm of unavailable) {
        const pool = fleet.get(vm)?.pool ?? "";
        unavailableCounts.set(pool, (unavailableCounts.get(pool) ?? 0) + 1);
    }
    const remainingBudgets = new Map<string, number>();
    for (const { pool, maxUnavailable } of budgets.values()) {
        const reserve = maxUnavailable >= minBudgetForReserve ? Math.ceil(maxUnavailable * reserveFraction) : 0;
        remainingBudgets.set(pool, Math.max(0, maxUnavailable - reserve - (unavailableCounts.get(pool) ?? 0)));
    }
    return remainingBudgets;
}

function computeRackPriorities(
    wave: Wave,
    fleet: ReadonlyMap<string, MaintenanceVm>,
    waiting: readonly MaintenanceVm[],
): Map<string, number> {
    const startedWeight = 1_000;
    const rackPriorities = new Map<string, number>();
    for (const { rack } of waiting) {
        rackPriorities.set(rack, (rackPriorities.get(rack) ?? 0) + 1);
    }
    for (const [vm, { step }] of wave.vms) {
        const rack = fleet.get(vm)?.rack ?? "";
        if (isStepUnavailable(step) || step === VmStep.Probation) {
            rackPriorities.set(rack, (rackPriorities.get(rack) ?? 0) + startedWeight);
        }
    }
    return rackPriorities;
}
