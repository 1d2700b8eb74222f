import type { AllocationState } from "./allocation-state.js";

/** Number of recent changes that are retained at least; the list is truncated at twice this number. */
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
