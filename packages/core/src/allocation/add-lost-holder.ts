import type { AllocationState } from "./allocation-state.js";
import { updateUnconfirmedTarget } from "./update-unconfirmed-target.js";

/**
 * Notes that a holder has stopped for good. Its slots are free at once; its part of the teams' limits only once the
 * targets say what they still run for it.
 * @param state - the leader
 * @param holder - the holder
 * @param now - monotonic milliseconds
 */
export function addLostHolder(state: AllocationState, holder: string, now: number): void {
    for (const [vm, resource] of state.slots) {
        if (resource.grants.delete(holder)) {
            updateUnconfirmedTarget(state, vm);
            state.stalePools.add(state.tables.objects.vm.get(vm)?.value.pool ?? "");
        }
    }
    if (!state.lostHolders.has(holder)) {
        state.lostHolders.set(holder, { lostAt: now, runningByEntry: new Map(), reportedTargets: new Set() });
    }
}
