import { addLostHolder } from "./add-lost-holder.js";
import type { AllocationState } from "./allocation-state.js";
import { buildHolderName } from "./build-holder-name.js";
import { confirmGrant } from "./confirm-grant.js";
import type { EntryReport } from "./entry-report.js";
import type { EntryView } from "./entry-view.js";
import { findOrCreateResource } from "./find-or-create-resource.js";
import { updateDemands } from "./update-demands.js";
import { updateLostHolders } from "./update-lost-holders.js";
import { updateTargets } from "./update-targets.js";
import { updateUnconfirmedTarget } from "./update-unconfirmed-target.js";

/**
 * Applies an entry's report to the leader's allocation state.
 * @param state - the leader's allocation state
 * @param report - the report
 * @param now - monotonic milliseconds
 */
export function receiveEntryReport(state: AllocationState, report: EntryReport, now: number): void {
    const view = findOrCreateView(state, report, now);
    const isResent = report.reportNumber <= view.reportNumber;
    view.reportNumber = report.reportNumber;
    view.lastReportAt = now;
    view.revision = report.revision;
    if (view.isLeaving !== report.isLeaving) {
        view.isLeaving = report.isLeaving;
        setAllStale(state);
    }
    updateTargets(state, report);
    updateDemands(state, view, report, isResent, now);
    confirmSlots(state, view, report);
    confirmTeams(state, view, report);
    updateLostHolders(state, report, now);
}

function findOrCreateView(state: AllocationState, report: EntryReport, now: number): EntryView {
    const holder = buildHolderName(report.entry, report.incarnation);
    const existing = state.entries.get(report.entry);
    if (existing?.holder === holder) {
        return existing;
    }
    for (const earlier of listEarlierHolders(state, report.entry, holder)) {
        addLostHolder(state, earlier, now);
    }
    const view: EntryView = {
        entry: report.entry,
        holder,
        zone: report.zone,
        revision: 0,
        reportNumber: 0,
        lastReportAt: now,
        lastDemandAt: now,
        isLeaving: false,
        poolDemand: new Map(),
        teamDemand: new Map(),
        teamUse: new Map(),
    };
    state.entries.set(report.entry, view);
    setAllStale(state);
    return view;
}

/** Lists earlier incarnations of an entry. They have terminated, since the entry has started again. */
function listEarlierHolders(state: AllocationState, entry: string, current: string): Set<string> {
    const holders = new Set<string>();
    for (const resources of [state.teams, state.slots]) {
        for (const resource of resources.values()) {
            for (const holder of resource.grants.keys()) {
                if (holder.startsWith(`${entry}@`) && holder !== current) {
                    holders.add(holder);
                }
            }
        }
    }
    return holders;
}

function setAllStale(state: AllocationState): void {
    state.plannedRevision = -1;
}

function confirmSlots(state: AllocationState, view: EntryView, report: EntryReport): void {
    const inUse = new Map(report.slots.map(row => [row.vm, row.inUse]));
    if (report.isFull) {
        addHeldSlots(state, view, inUse);
    }
    // Only the confirmation of a decreased allowance can release slots.
    for (const vm of [...state.unconfirmedTargets]) {
        if (confirmGrant(findOrCreateResource(state.slots, vm), view.holder, report.seenSequence, inUse.get(vm) ?? 0)) {
            state.stalePools.add(readPool(state, vm));
            updateUnconfirmedTarget(state, vm);
        }
    }
}

/** Adds the slots that an earlier leader granted to the entry; a full report lists them. */
function addHeldSlots(state: AllocationState, view: EntryView, held: ReadonlyMap<string, number>): void {
    for (const [vm, units] of held) {
        const resource = findOrCreateResource(state.slots, vm);
        if (!resource.grants.has(view.holder)) {
            resource.grants.set(view.holder, { allowed: units, ceiling: units, sequence: state.sequence });
        }
    }
}

function readPool(state: AllocationState, vm: string): string {
    return state.tables.objects.vm.get(vm)?.value.pool ?? "";
}

function confirmTeams(state: AllocationState, view: EntryView, report: EntryReport): void {
    view.teamUse.clear();
    for (const row of report.teams) {
        view.teamUse.set(row.team, row.inUse);
    }
    for (const [team, resource] of state.teams) {
        if (confirmGrant(resource, view.holder, report.seenSequence, view.teamUse.get(team) ?? 0)) {
            state.staleTeams.add(team);
        }
    }
}
