import type { AllocationState } from "./allocation-state.js";
import { allocationTiming } from "./allocation-timing.js";
import type { EntryReport } from "./entry-report.js";
import type { EntryView } from "./entry-view.js";
import type { SlotTimeUsage } from "./slot-time-usage.js";

/** Demand below which an entry counts as having none. */
const minPeak = 0.5;

/**
 * Takes over an entry's demand and use, and marks the plans that no longer fit it.
 * @param state - the leader
 * @param view - the entry
 * @param report - its report
 * @param isResent - whether the use in the report was counted before
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

/** Lets the peaks fall off and forgets what has become nothing. */
function updateDemandPeaks(demands: EntryView["poolDemand"], elapsedMs: number): void {
    const factor = 0.5 ** (elapsedMs / allocationTiming.demandHalfLifeMs);
    for (const [name, demand] of demands) {
        demand.wanted = 0;
        demand.waiting = 0;
        demand.peak *= factor;
        if (demand.peak < minPeak) {
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

function addBacklogged(demands: EntryView["poolDemand"], stale: Set<string>): void {
    for (const [name, demand] of demands) {
        if (demand.waiting > 0) {
            stale.add(name);
        }
    }
}

function recordSlotTime(
    state: AllocationState,
    row: EntryReport["demands"][number],
    isResent: boolean,
    now: number,
): void {
    const accounts = findOrCreateUsages(state, row.pool);
    const account = accounts.get(row.team) ?? { virtualMs: 0, usedMs: 0, activeAt: -Infinity };
    accounts.set(row.team, account);
    if (now - account.activeAt > allocationTiming.teamActiveMs) {
        account.virtualMs = Math.max(account.virtualMs, computeMinActiveVirtualMs(accounts, account, now));
    }
    if (row.running + row.waiting > 0) {
        account.activeAt = now;
    }
    if (!isResent) {
        const share = state.tables.objects.team.get(row.team)?.value.share ?? 1;
        account.usedMs += row.usedMs;
        account.virtualMs += row.usedMs / share;
    }
}

function findOrCreateUsages(state: AllocationState, pool: string): Map<string, SlotTimeUsage> {
    let accounts = state.slotTimeUsage.get(pool);
    if (accounts === undefined) {
        accounts = new Map();
        state.slotTimeUsage.set(pool, accounts);
    }
    return accounts;
}

function computeMinActiveVirtualMs(accounts: Map<string, SlotTimeUsage>, own: SlotTimeUsage, now: number): number {
    let least = Infinity;
    for (const account of accounts.values()) {
        if (account !== own && now - account.activeAt <= allocationTiming.teamActiveMs) {
            least = Math.min(least, account.virtualMs);
        }
    }
    return Number.isFinite(least) ? least : 0;
}
