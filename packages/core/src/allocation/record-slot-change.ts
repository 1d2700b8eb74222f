import type { AllocationState } from "./allocation-state.js";

/** Minimum number of recent changes that are retained when the list is truncated. */
const minRetainedChanges = 8_192;

/**
 * Records that the slots or the registration of a target changed at the current sequence number.
 * @param state - the leader's allocation state
 * @param vm - VM of the target
 */
export function recordSlotChange(state: AllocationState, vm: string): void {
    state.slotChanges.push({ sequence: state.sequence, vm });
    if (state.slotChanges.length > 2 * minRetainedChanges) {
        state.slotChanges.splice(0, minRetainedChanges);
    }
}
