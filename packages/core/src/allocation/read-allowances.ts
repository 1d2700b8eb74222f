import { TargetAvailability } from "../admission/target-availability.js";
import type { AllocationState } from "./allocation-state.js";
import { buildHolderName } from "./build-holder-name.js";
import { countGranted } from "./count-granted.js";
import type { EntryAllowances } from "./entry-allowances.js";
import type { EntryReport } from "./entry-report.js";
import { listChangedTargets } from "./list-changed-targets.js";

/**
 * Reads the allowances that changed since the sequence number that an entry has applied.
 * @param state - the leader's allocation state
 * @param report - the entry's report
 * @returns the reply to the report; all allowances when the report is full
 */
export function readAllowances(state: AllocationState, report: EntryReport): EntryAllowances {
    const holder = buildHolderName(report.entry, report.incarnation);
    const since = report.isFull ? 0 : report.seenSequence;
    return {
        sequence: state.sequence,
        isSettled: state.unconfirmedTargets.size === 0 && state.stalePools.size === 0 && state.staleTeams.size === 0,
        teams: readTeams(state, holder, since),
        slots: readSlots(state, holder, since),
        shares: readShares(state, report),
        lostHolders: [...state.lostHolders.keys()],
        releasedTargets: readReleased(state, report.entry),
    };
}

function readReleased(state: AllocationState, entry: string): string[] {
    const released: string[] = [];
    for (const view of state.targets.values()) {
        if (view.state !== TargetAvailability.Leaving || !view.stateByEntry.has(entry)) {
            continue;
        }
        const resource = state.slots.get(view.vm);
        if (resource === undefined || (resource.capacity === 0 && countGranted(resource) === 0)) {
            released.push(view.vm);
        }
    }
    return released;
}

function readTeams(state: AllocationState, holder: string, since: number): EntryAllowances["teams"] {
    const rows: EntryAllowances["teams"] = [];
    for (const [team, resource] of state.teams) {
        const grant = resource.grants.get(holder);
        if (grant !== undefined && grant.sequence > since) {
            rows.push({ team, allowed: grant.allowed });
        }
    }
    return rows;
}

function readSlots(state: AllocationState, holder: string, since: number): EntryAllowances["slots"] {
    const rows: EntryAllowances["slots"] = [];
    for (const vm of listChangedTargets(state, since)) {
        const grant = state.slots.get(vm)?.grants.get(holder);
        const view = state.targets.get(vm);
        if (grant === undefined || view === undefined || Math.max(grant.sequence, view.sequence) <= since) {
            continue;
        }
        rows.push({
            vm,
            incarnation: view.incarnation,
            address: view.address,
            state: view.state,
            allowed: grant.allowed,
        });
    }
    return rows;
}

function readShares(state: AllocationState, report: EntryReport): EntryAllowances["shares"] {
    return report.demands.map(row => ({
        pool: row.pool,
        team: row.team,
        virtualMs: state.slotTimeUsage.get(row.pool)?.get(row.team)?.virtualMs ?? 0,
    }));
}
