import type { LeaderState } from "./leader-state.js";
import { updateUnconfirmed } from "./update-unconfirmed.js";

/**
 * Notes that a holder has stopped for good. Its slots are free at once; its part of the teams' limits only once the
 * targets say what they still run for it.
 * @param state - the leader
 * @param holder - the holder
 * @param now - monotonic milliseconds
 */
export function noteLostHolder(state: LeaderState, holder: string, now: number): void {
    for (const [vm, resource] of state.slots) {
        if (resource.grants.delete(holder)) {
            updateUnconfirmed(state, vm);
            state.stalePools.add(state.tables.objects.vm.get(vm)?.value.pool ?? "");
        }
    }
    if (!state.lost.has(holder)) {
        state.lost.set(holder, { since: now, residues: new Map(), heardTargets: new Set() });
    }
}
