import { TargetAvailability } from "../admission/target-availability.js";
import type { AllocationState } from "./allocation-state.js";
import { allocationTiming } from "./allocation-timing.js";
import { recordSlotChange } from "./record-slot-change.js";
import { updateUnconfirmedTarget } from "./update-unconfirmed-target.js";

/**
 * Removes entries that have not reported within `entryExpiryMs`, or `entryUnresponsiveMs` when they are leaving:
 * releases their slots and drops the target states that they reported. Their portions of the teams' limits stay
 * granted, since they may still serve requests in a partitioned availability zone.
 * @param state - the leader's allocation state
 * @param now - monotonic milliseconds
 * @returns names of the removed entries
 */
export function dropUnresponsiveEntries(state: AllocationState, now: number): string[] {
    const dropped: string[] = [];
    for (const view of state.entries.values()) {
        const sinceReportMs = now - view.lastReportAt;
        const hasLeft = view.isLeaving && sinceReportMs > allocationTiming.entryUnresponsiveMs;
        if (sinceReportMs > allocationTiming.entryExpiryMs || hasLeft) {
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
