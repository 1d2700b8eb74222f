import type { AllocationState } from "./allocation-state.js";
import { findOrCreateResource } from "./find-or-create-resource.js";

/**
 * Updates the capacities of the teams from the tables and marks all plans as stale. Does nothing when the current plans
 * are based on the tables' revision already.
 * @param state - the leader's allocation state
 */
export function updateCapacities(state: AllocationState): void {
    const { tables } = state;
    if (state.plannedRevision === tables.revision) {
        return;
    }
    state.plannedRevision = tables.revision;
    for (const [team, { value }] of tables.objects.team) {
        findOrCreateResource(state.teams, team).capacity = value.upperLimit;
        state.staleTeams.add(team);
    }
    for (const [team, resource] of state.teams) {
        if (!tables.objects.team.has(team)) {
            resource.capacity = 0;
            state.staleTeams.add(team);
        }
    }
    for (const pool of tables.objects.pool.keys()) {
        state.stalePools.add(pool);
    }
    // The empty name stands for VMs that are in no pool, such as VMs removed from the tables. Replanning it withdraws
    // their grants.
    state.stalePools.add("");
}
