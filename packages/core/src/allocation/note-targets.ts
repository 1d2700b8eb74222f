import { TargetState } from "../admission/target-state.js";
import type { EntryReport } from "./entry-report.js";
import type { LeaderState } from "./leader-state.js";
import { noteSlotChange } from "./note-slot-change.js";
import type { TargetView } from "./target-view.js";

/**
 * Takes over what an entry says of the targets that announce themselves to it.
 * @param state - the leader
 * @param report - the entry's report
 */
export function noteTargets(state: LeaderState, report: EntryReport): void {
    if (report.isFull) {
        dropMissing(state, report);
    }
    for (const row of report.targets) {
        const view = state.targets.get(row.vm);
        if (view === undefined || row.incarnation > view.incarnation) {
            setView(state, report.entry, row);
        }
        else if (row.incarnation === view.incarnation) {
            view.registrars.set(report.entry, row.state);
            updateView(state, view, row);
        }
    }
}

function dropMissing(state: LeaderState, report: EntryReport): void {
    const named = new Set(report.targets.map(row => row.vm));
    for (const view of state.targets.values()) {
        if (!named.has(view.vm) && view.registrars.delete(report.entry)) {
            updateView(state, view, view);
        }
    }
}

function setView(state: LeaderState, entry: string, row: EntryReport["targets"][number]): void {
    const view: TargetView = {
        vm: row.vm,
        incarnation: row.incarnation,
        address: row.address,
        slots: row.slots,
        state: row.state,
        registrars: new Map([[entry, row.state]]),
        sequence: ++state.sequence,
    };
    state.targets.set(row.vm, view);
    noteSlotChange(state, row.vm);
    noteStale(state, row.vm);
}

function updateView(state: LeaderState, view: TargetView, row: { address: string; slots: number }): void {
    const next = mergeStates(view.registrars);
    if (next === view.state && row.address === view.address && row.slots === view.slots) {
        return;
    }
    view.state = next;
    view.address = row.address;
    view.slots = row.slots;
    view.sequence = ++state.sequence;
    noteSlotChange(state, view.vm);
    noteStale(state, view.vm);
}

/** A target is leaving once it told anyone so, and gone only when nobody hears it. */
function mergeStates(registrars: ReadonlyMap<string, TargetState>): TargetState {
    const states = [...registrars.values()];
    if (states.includes(TargetState.Leaving)) {
        return TargetState.Leaving;
    }
    return states.includes(TargetState.Ready) ? TargetState.Ready : TargetState.Gone;
}

function noteStale(state: LeaderState, vm: string): void {
    const pool = state.tables.objects.vm.get(vm)?.value.pool;
    if (pool !== undefined) {
        state.stalePools.add(pool);
    }
}
