import { TargetAvailability } from "../admission/target-availability.js";
import type { AllocationState } from "./allocation-state.js";
import type { EntryReport } from "./entry-report.js";
import { recordSlotChange } from "./record-slot-change.js";
import type { TargetRegistration } from "./target-registration.js";

/**
 * Updates the target registrations from an entry's report of the targets that announce themselves to it.
 * @param state - the leader's allocation state
 * @param report - the entry's report
 */
export function updateTargets(state: AllocationState, report: EntryReport): void {
    if (report.isFull) {
        dropMissingTargets(state, report);
    }
    for (const row of report.targets) {
        const registration = state.targets.get(row.vm);
        if (registration === undefined || row.incarnation > registration.incarnation) {
            createRegistration(state, report.entry, row);
        }
        else if (row.incarnation === registration.incarnation) {
            registration.stateByEntry.set(report.entry, row.state);
            updateRegistration(state, registration, row);
        }
    }
}

function dropMissingTargets(state: AllocationState, report: EntryReport): void {
    const reported = new Set(report.targets.map(row => row.vm));
    for (const registration of state.targets.values()) {
        if (!reported.has(registration.vm) && registration.stateByEntry.delete(report.entry)) {
            updateRegistration(state, registration, registration);
        }
    }
}

function createRegistration(state: AllocationState, entry: string, row: EntryReport["targets"][number]): void {
    const registration: TargetRegistration = {
        vm: row.vm,
        incarnation: row.incarnation,
        address: row.address,
        slots: row.slots,
        state: row.state,
        stateByEntry: new Map([[entry, row.state]]),
        sequence: ++state.sequence,
    };
    state.targets.set(row.vm, registration);
    recordSlotChange(state, row.vm);
    addStalePool(state, row.vm);
}

function updateRegistration(
    state: AllocationState,
    registration: TargetRegistration,
    row: { address: string; slots: number },
): void {
    const merged = mergeStates(registration.stateByEntry);
    if (merged === registration.state && row.address === registration.address && row.slots === registration.slots) {
        return;
    }
    registration.state = merged;
    registration.address = row.address;
    registration.slots = row.slots;
    registration.sequence = ++state.sequence;
    recordSlotChange(state, registration.vm);
    addStalePool(state, registration.vm);
}

/** A target is leaving when any entry reports it as leaving, and gone when no entry reports it as leaving or ready. */
function mergeStates(stateByEntry: ReadonlyMap<string, TargetAvailability>): TargetAvailability {
    const states = [...stateByEntry.values()];
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
