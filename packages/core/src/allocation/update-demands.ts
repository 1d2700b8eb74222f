import type { AllocationState } from "./allocation-state.js";
import { allocationTiming } from "./allocation-timing.js";
import type { EntryReport } from "./entry-report.js";
import type { EntryView } from "./entry-view.js";
import type { SlotTimeUsage } from "./slot-time-usage.js";

/** Demand peak below which an entry counts as having no demand. */
const minDemandPeak = 0.5;

/**
 * Updates an entry's demand and its teams' slot time from its report. Marks the pools and teams with waiting requests
 * for replanning.
 * @param state - the leader's allocation state
 * @param view - the leader's record of the entry
 * @param report - the entry's report
 * @param isResent - whether the slot time in the report has been counted already
 * @param now - monotonic milliseconds
 */
export function updateDemands(
    state: AllocationState,
    view: EntryView,
    report: EntryReport,
    isResent: boolean,
    now: number,
): void {
    const elapsedMs = now - view.lastDemandAt;
    view.lastDemandAt = now;
    updateDemandPeaks(view.poolDemand, elapsedMs);
    updateDemandPeaks(view.teamDemand, elapsedMs);
    for (const row of report.demands) {
        addDemand(view.poolDemand, row.pool, row.running, row.waiting);
        addDemand(view.teamDemand, row.team, row.running, row.waiting);
        recordSlotTime(state, row, isResent, now);
    }
    addBacklogged(view.poolDemand, state.backloggedPools);
    addBacklogged(view.teamDemand, state.staleTeams);
}

/** Decays the demand peaks, resets the current demand and deletes peaks below `minDemandPeak`. */
function updateDemandPeaks(demands: EntryView["poolDemand"], elapsedMs: number): void {
    const factor = 0.5 ** (elapsedMs / allocationTiming.demandHalfLifeMs);
    for (const [name, demand] of demands) {
        demand.wanted = 0;
        demand.waiting = 0;
        demand.peak *= factor;
        if (demand.peak < minDemandPeak) {
            demands.delete(name);
        }
    }
}

function addDemand(demands: EntryView["poolDemand"], name: string, running: number, waiting: number): void {
    const demand = demands.get(name) ?? { wanted: 0, waiting: 0, peak: 0 };
    demand.wanted += running + waiting;
    demand.waiting += waiting;
    demand.peak = Math.max(demand.peak, demand.wanted);
    demands.set(name, demand);
}

function addBacklogged(demands: EntryView["poolDemand"], backlogged: Set<string>): void {
    for (const [name, demand] of demands) {
        if (demand.waiting > 0) {
            backlogged.add(name);
        }
    }
}

function recordSlotTime(
    state: AllocationState,
    row: EntryReport["demands"][number],
    isResent: boolean,
    now: number,
): void {
    const usages = findOrCreateUsages(state, row.pool);
    const usage = usages.get(row.team) ?? { virtualMs: 0, usedMs: 0, lastActiveAt: -Infinity };
    usages.set(row.team, usage);
    if (now - usage.lastActiveAt > allocationTiming.teamActiveMs) {
        // A team does not accumulate credit while it is idle.
        usage.virtualMs = Math.max(usage.virtualMs, computeMinActiveVirtualMs(usages, usage, now));
    }
    if (row.running + row.waiting > 0) {
        usage.lastActiveAt = now;
    }
    if (!isResent) {
        const share = state.tables.objects.team.get(row.team)?.value.share ?? 1;
        usage.usedMs += row.usedMs;
        usage.virtualMs += row.usedMs / share;
    }
}

function findOrCreateUsages(state: AllocationState, pool: string): Map<string, SlotTimeUsage> {
    let usages = state.slotTimeUsage.get(pool);
    if (usages === undefined) {
        usages = new Map();
        state.slotTimeUsage.set(pool, usages);
    }
    return usages;
}

function computeMinActiveVirtualMs(usages: Map<string, SlotTimeUsage>, own: SlotTimeUsage, now: number): number {
    let lowest = Infinity;
    for (const usage of usages.values()) {
        if (usage !== own && now - usage.lastActiveAt <= allocationTiming.teamActiveMs) {
            lowest = Math.min(lowest, usage.virtualMs);
        }
    }
    return Number.isFinite(lowest) ? lowest : 0;
}
