import type { AllocationState } from "./allocation-state.js";
import { updateUnconfirmedTarget } from "./update-unconfirmed-target.js";

/**
 * Records that a holder has terminated. Its slots are released at once. Its grants of the teams' limits are decreased
 * only after the targets have reported which of its requests they still run, see updateLostHolders.
 * @param state - the leader's allocation state
 * @param holder - name of the holder, see buildHolderName
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
