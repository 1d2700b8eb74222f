import { TargetAvailability } from "../admission/target-availability.js";
import type { AllocationState } from "./allocation-state.js";
import type { EntryReport } from "./entry-report.js";
import { recordSlotChange } from "./record-slot-change.js";
import type { TargetRegistration } from "./target-registration.js";

/**
 * Takes over what an entry says of the targets that announce themselves to it.
 * @param state - the leader
 * @param report - the entry's report
 */
export function updateTargets(state: AllocationState, report: EntryReport): void {
    if (report.isFull) {
        dropMissing(state, report);
    }
    for (const row of report.targets) {
        const view = state.targets.get(row.vm);
        if (view === undefined || row.incarnation > view.incarnation) {
            setView(state, report.entry, row);
        }
        else if (row.incarnation === view.incarnation) {
            view.stateByEntry.set(report.entry, row.state);
            updateView(state, view, row);
        }
    }
}

function dropMissing(state: AllocationState, report: EntryReport): void {
    const named = new Set(report.targets.map(row => row.vm));
    for (const view of state.targets.values()) {
        if (!named.has(view.vm) && view.stateByEntry.delete(report.entry)) {
            updateView(state, view, view);
        }
    }
}

function setView(state: AllocationState, entry: string, row: EntryReport["targets"][number]): void {
    const view: TargetRegistration = {
        vm: row.vm,
        incarnation: row.incarnation,
        address: row.address,
        slots: row.slots,
        state: row.state,
        stateByEntry: new Map([[entry, row.state]]),
        sequence: ++state.sequence,
    };
    state.targets.set(row.vm, view);
    recordSlotChange(state, row.vm);
    addStalePool(state, row.vm);
}

function updateView(state: AllocationState, view: TargetRegistration, row: { address: string; slots: number }): void {
    const next = mergeStates(view.stateByEntry);
    if (next === view.state && row.address === view.address && row.slots === view.slots) {
        return;
    }
    view.state = next;
    view.address = row.address;
    view.slots = row.slots;
    view.sequence = ++state.sequence;
    recordSlotChange(state, view.vm);
    addStalePool(state, view.vm);
}

/** A target is leaving once it told anyone so, and gone only when nobody hears it. */
function mergeStates(registrars: ReadonlyMap<string, TargetAvailability>): TargetAvailability {
    const states = [...registrars.values()];
    if (states.includes(TargetAvailability.Leaving)) {
        return TargetAvailability.Leaving;
    }
    return states.includes(TargetAvailability.Ready) ? TargetAvailability.Ready : TargetAvailability.Gone;
}

function addStalePool(state: AllocationState, vm: string): void {
    const pool = state.tables.objects.vm.get(vm)?.value.pool;
    if (pool !== undefined) {
        state.stalePools.add(pool);
    }
}
