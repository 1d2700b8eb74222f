import { allocationTiming } from "./allocation-timing.js";
import type { EntryReport } from "./entry-report.js";
import type { EntryView } from "./entry-view.js";
import type { LeaderState } from "./leader-state.js";
import type { ShareAccount } from "./share-account.js";

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
export function noteDemands(
    state: LeaderState,
    view: EntryView,
    report: EntryReport,
    isResent: boolean,
    now: number,
): void {
    const elapsedMs = now - view.demandAt;
    view.demandAt = now;
    startDemands(view.poolDemand, elapsedMs);
    startDemands(view.teamDemand, elapsedMs);
    for (const row of report.demands) {
        addDemand(view.poolDemand, row.pool, row.running, row.waiting);
        addDemand(view.teamDemand, row.team, row.running, row.waiting);
        noteUse(state, row, isResent, now);
    }
    noteStarvingDemands(view.poolDemand, state.starvingPools);
    noteStarvingDemands(view.teamDemand, state.staleTeams);
}

/** Lets the peaks fall off and forgets what has become nothing. */
function startDemands(demands: EntryView["poolDemand"], elapsedMs: number): void {
    const factor = 0.5 ** (elapsedMs / allocationTiming.demandHalfLife);
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

function noteStarvingDemands(demands: EntryView["poolDemand"], stale: Set<string>): void {
    for (const [name, demand] of demands) {
        if (demand.waiting > 0) {
            stale.add(name);
        }
    }
}

function noteUse(state: LeaderState, row: EntryReport["demands"][number], isResent: boolean, now: number): void {
    const accounts = openAccounts(state, row.pool);
    const account = accounts.get(row.team) ?? { virtualMs: 0, usedMs: 0, activeAt: -Infinity };
    accounts.set(row.team, account);
    if (now - account.activeAt > allocationTiming.teamActive) {
        account.virtualMs = Math.max(account.virtualMs, computeLeastActive(accounts, account, now));
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

function openAccounts(state: LeaderState, pool: string): Map<string, ShareAccount> {
    let accounts = state.shares.get(pool);
    if (accounts === undefined) {
        accounts = new Map();
        state.shares.set(pool, accounts);
    }
    return accounts;
}

function computeLeastActive(accounts: Map<string, ShareAccount>, own: ShareAccount, now: number): number {
    let least = Infinity;
    for (const account of accounts.values()) {
        if (account !== own && now - account.activeAt <= allocationTiming.teamActive) {
            least = Math.min(least, account.virtualMs);
        }
    }
    return Number.isFinite(least) ? least : 0;
}
