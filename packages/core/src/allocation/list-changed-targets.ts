import type { AllocationState } from "./allocation-state.js";

/**
 * Lists the targets whose slots or state may have changed after a sequence.
 * @param state - the leader
 * @param since - the sequence
 * @returns their VMs; all of them when the sequence is older than the changes that are kept
 */
export function listChangedTargets(state: AllocationState, since: number): Iterable<string> {
    const oldest = state.slotChanges[0]?.sequence ?? Infinity;
    if (since === 0 || since < oldest) {
        return state.slots.keys();
    }
    const changed = new Set<string>();
    for (let position = state.slotChanges.length - 1; position >= 0; position--) {
        const change = state.slotChanges[position];
        if (change === undefined || change.sequence <= since) {
            break;
        }
        changed.add(change.vm);
    }
    return changed;
}
