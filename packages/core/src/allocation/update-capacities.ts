import type { AllocationState } from "./allocation-state.js";
import { findOrCreateResource } from "./find-or-create-resource.js";

/**
 * Brings the capacities in line with the tables and marks every plan as stale when the tables changed.
 * @param state - the leader
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
    // A VM that changed its pool has to leave the plan of the old one.
    state.stalePools.add("");
}
