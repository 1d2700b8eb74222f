import type { AllocationState } from "./allocation-state.js";

const maxChanges = 8_192;

/**
 * Notes that the slots of a target, or what is known of it, changed at the current sequence.
 * @param state - the leader
 * @param vm - the target
 */
export function recordSlotChange(state: AllocationState, vm: string): void {
    state.slotChanges.push({ sequence: state.sequence, vm });
    if (state.slotChanges.length > 2 * maxChanges) {
        state.slotChanges.splice(0, maxChanges);
    }
}
