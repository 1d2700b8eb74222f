import { TargetAvailability } from "../admission/target-availability.js";
import type { AllocationState } from "./allocation-state.js";
import { allocationTiming } from "./allocation-timing.js";
import { recordSlotChange } from "./record-slot-change.js";
import { updateUnconfirmedTarget } from "./update-unconfirmed-target.js";

/**
 * Gives the slots of entries that have been silent for long to others, and forgets what those entries said of targets.
 * Their parts of the teams' limits stay theirs, since they may go on serving in a zone that is cut off.
 * @param state - the leader
 * @param now - monotonic milliseconds
 * @returns names of the entries dropped
 */
export function dropUnresponsiveEntries(state: AllocationState, now: number): string[] {
    const dropped: string[] = [];
    for (const view of state.entries.values()) {
        const silentMs = now - view.lastReportAt;
        const isSoonGone = view.isLeaving && silentMs > allocationTiming.entryUnresponsiveMs;
        if (silentMs > allocationTiming.entryExpiryMs || isSoonGone) {
            state.entries.delete(view.entry);
            dropSlots(state, view.holder);
            dropRegistrations(state, view.entry);
            dropped.push(view.entry);
        }
    }
    if (dropped.length > 0) {
        state.plannedRevision = -1;
    }
    return dropped;
}

function dropSlots(state: AllocationState, holder: string): void {
    for (const [vm, resource] of state.slots) {
        if (resource.grants.delete(holder)) {
            updateUnconfirmedTarget(state, vm);
        }
    }
}

function dropRegistrations(state: AllocationState, entry: string): void {
    for (const view of state.targets.values()) {
        if (view.stateByEntry.delete(entry) && view.stateByEntry.size === 0) {
            view.state = TargetAvailability.Gone;
            view.sequence = ++state.sequence;
            recordSlotChange(state, view.vm);
        }
    }
}
