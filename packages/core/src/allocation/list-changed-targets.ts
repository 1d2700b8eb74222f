import type { AllocationState } from "./allocation-state.js";

/**
 * Lists the targets whose slots or state may have changed after a sequence number.
 * @param state - the leader's allocation state
 * @param since - the sequence number; 0 lists all targets
 * @returns VMs of the targets; those of all targets when `since` is older than the oldest retained change
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
