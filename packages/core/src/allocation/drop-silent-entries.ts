import { TargetState } from "../admission/target-state.js";
import { allocationTiming } from "./allocation-timing.js";
import type { LeaderState } from "./leader-state.js";
import { noteSlotChange } from "./note-slot-change.js";
import { updateUnconfirmed } from "./update-unconfirmed.js";

/**
 * Gives the slots of entries that have been silent for long to others, and forgets what those entries said of targets.
 * Their parts of the teams' limits stay theirs, since they may go on serving in a zone that is cut off.
 * @param state - the leader
 * @param now - monotonic milliseconds
 * @returns names of the entries dropped
 */
export function dropSilentEntries(state: LeaderState, now: number): string[] {
    const dropped: string[] = [];
    for (const view of state.entries.values()) {
        const silentMs = now - view.heardAt;
        const isSoonGone = view.isLeaving && silentMs > allocationTiming.entrySilent;
        if (silentMs > allocationTiming.entryGone || isSoonGone) {
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

function dropSlots(state: LeaderState, holder: string): void {
    for (const [vm, resource] of state.slots) {
        if (resource.grants.delete(holder)) {
            updateUnconfirmed(state, vm);
        }
    }
}

function dropRegistrations(state: LeaderState, entry: string): void {
    for (const view of state.targets.values()) {
        if (view.registrars.delete(entry) && view.registrars.size === 0) {
            view.state = TargetState.Gone;
            view.sequence = ++state.sequence;
            noteSlotChange(state, view.vm);
        }
    }
}
