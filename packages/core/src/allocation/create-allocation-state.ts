import { ObjectKind } from "../tables/object-kind.js";
import type { Tables } from "../tables/tables.js";
import type { AllocationState } from "./allocation-state.js";

/**
 * Creates the volatile allocation state of a new leader from the replicated state.
 * @param session - unique identifier of this term of leadership
 * @param tables - the replicated tables, read only
 * @param grants - the replicated grants by team and holder
 * @param now - monotonic milliseconds
 * @returns the allocation state, without entries and targets
 */
export function createAllocationState(
    session: string,
    tables: Tables,
    grants: ReadonlyMap<string, ReadonlyMap<string, number>>,
    now: number,
): AllocationState {
    const state: AllocationState = {
        session,
        startedAt: now,
        tables,
        sequence: 1,
        entries: new Map(),
        targets: new Map(),
        slots: new Map(),
        teams: new Map(),
        slotTimeUsage: new Map(),
        lostHolders: new Map(),
        slotChanges: [],
        backloggedPools: new Set(),
        plannedAt: new Map(),
        stalePools: new Set(),
        staleTeams: new Set(),
        cordonedTargets: new Set(),
        unconfirmedTargets: new Set(),
        plannedRevision: -1,
    };
    for (const [team, holders] of grants) {
        const capacity = tables.objects[ObjectKind.Team].get(team)?.value.upperLimit ?? 0;
        const entries = [...holders].map(([holder, units]) =>
            [holder, { allowed: units, ceiling: units, sequence: 1 }] as const
        );
        state.teams.set(team, { capacity, grants: new Map(entries) });
    }
    return state;
}
