import { confirmGrant } from "./confirm-grant.js";
import type { EntryReport } from "./entry-report.js";
import type { EntryView } from "./entry-view.js";
import type { LeaderState } from "./leader-state.js";
import { noteDemands } from "./note-demands.js";
import { noteLostHolder } from "./note-lost-holder.js";
import { noteResidues } from "./note-residues.js";
import { noteTargets } from "./note-targets.js";
import { openResource } from "./open-resource.js";
import { readHolder } from "./read-holder.js";
import { updateUnconfirmed } from "./update-unconfirmed.js";

/**
 * Takes an entry's report into the leader's state.
 * @param state - the leader
 * @param report - the report
 * @param now - monotonic milliseconds
 */
export function receiveReport(state: LeaderState, report: EntryReport, now: number): void {
    const view = openView(state, report, now);
    const isResent = report.reportNumber <= view.reportNumber;
    view.reportNumber = report.reportNumber;
    view.heardAt = now;
    view.revision = report.revision;
    if (view.isLeaving !== report.isLeaving) {
        view.isLeaving = report.isLeaving;
        noteAllStale(state);
    }
    noteTargets(state, report);
    noteDemands(state, view, report, isResent, now);
    confirmSlots(state, view, report);
    confirmTeams(state, view, report);
    noteResidues(state, report, now);
}

function openView(state: LeaderState, report: EntryReport, now: number): EntryView {
    const holder = readHolder(report.entry, report.incarnation);
    const known = state.entries.get(report.entry);
    if (known?.holder === holder) {
        return known;
    }
    for (const earlier of listEarlierHolders(state, report.entry, holder)) {
        noteLostHolder(state, earlier, now);
    }
    const view: EntryView = {
        entry: report.entry,
        holder,
        zone: report.zone,
        revision: 0,
        reportNumber: 0,
        heardAt: now,
        demandAt: now,
        isLeaving: false,
        poolDemand: new Map(),
        teamDemand: new Map(),
        teamUse: new Map(),
    };
    state.entries.set(report.entry, view);
    noteAllStale(state);
    return view;
}

/** An entry that starts again proves that its earlier incarnations have stopped. */
function listEarlierHolders(state: LeaderState, entry: string, current: string): Set<string> {
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

function noteAllStale(state: LeaderState): void {
    state.plannedRevision = -1;
}

function confirmSlots(state: LeaderState, view: EntryView, report: EntryReport): void {
    const inUse = new Map(report.slots.map(row => [row.vm, row.inUse]));
    if (report.isFull) {
        addHeldSlots(state, view, inUse);
    }
    // Only a lowered allowance that is not confirmed yet can free anything.
    for (const vm of [...state.unconfirmed]) {
        if (confirmGrant(openResource(state.slots, vm), view.holder, report.seenSequence, inUse.get(vm) ?? 0)) {
            state.stalePools.add(readPool(state, vm));
            updateUnconfirmed(state, vm);
        }
    }
}

/** A full report names the slots that the entry got from an earlier leader. */
function addHeldSlots(state: LeaderState, view: EntryView, held: ReadonlyMap<string, number>): void {
    for (const [vm, units] of held) {
        const resource = openResource(state.slots, vm);
        if (!resource.grants.has(view.holder)) {
            resource.grants.set(view.holder, { allowed: units, ceiling: units, sequence: state.sequence });
        }
    }
}

function readPool(state: LeaderState, vm: string): string {
    return state.tables.objects.vm.get(vm)?.value.pool ?? "";
}

function confirmTeams(state: LeaderState, view: EntryView, report: EntryReport): void {
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
