import type { LeaderState } from "./leader-state.js";

/**
 * Takes a target off the list of those with unconfirmed allowances, if every holder has confirmed.
 * @param state - the leader
 * @param vm - the target
 */
export function updateUnconfirmed(state: LeaderState, vm: string): void {
    const grants = [...state.slots.get(vm)?.grants.values() ?? []];
    if (grants.every(grant => grant.ceiling <= grant.allowed)) {
        state.unconfirmed.delete(vm);
    }
}
