import type { TeamGrant } from "../control/team-grant.js";
import { Invariant } from "../invariants/invariant.js";
import type { AllocationState } from "./allocation-state.js";
import { applyDecreases } from "./apply-decreases.js";
import { applyIncrease } from "./apply-increase.js";
import { computeFairSplit } from "./compute-fair-split.js";
import type { HolderDemand } from "./holder-demand.js";
import { isEntryEligible } from "./is-entry-eligible.js";
import { planIncreases } from "./plan-increases.js";
import type { ResourceGrants } from "./resource-grants.js";

/**
 * Replans the grants of every stale team's upper limit. Decreases apply at once. Increases above the recorded grant
 * have to be committed first.
 * @param state - the leader's allocation state
 * @param recorded - grants in the replicated state, by team and holder
 * @param now - monotonic milliseconds
 * @returns grants to commit, decreases first; pass them to applyTeamGrants once committed
 */
export function planTeamGrants(
    state: AllocationState,
    recorded: ReadonlyMap<string, ReadonlyMap<string, number>>,
    now: number,
): TeamGrant[] {
    const decreasedGrants: TeamGrant[] = [];
    const increasedGrants: TeamGrant[] = [];
    for (const team of state.staleTeams) {
        const resource = state.teams.get(team);
        if (resource === undefined) {
            continue;
        }
        const demands = listDemands(state, team, now);
        const plan = computeFairSplit(resource.capacity - countHeldByOthers(resource, demands), demands);
        addLeavingEntries(state, plan);
        applyDecreases(resource, plan, ++state.sequence);
        const increases = planIncreases(resource, plan);
        for (const [holder, granted] of recorded.get(team) ?? []) {
            const ceiling = resource.grants.get(holder)?.ceiling ?? 0;
            if (ceiling < granted && !increases.has(holder)) {
                decreasedGrants.push({ team, holder, granted: ceiling });
            }
        }
        for (const [holder, units] of increases) {
            if (units <= (resource.grants.get(holder)?.ceiling ?? 0)) {
                // The recorded grant covers the increase. Recording less would understate what the holder may use.
                applyIncrease(resource, holder, units, state.sequence, Invariant.LimitNotExceeded);
                continue;
            }
            increasedGrants.push({ team, holder, granted: units });
        }
    }
    state.staleTeams.clear();
    return [...decreasedGrants, ...increasedGrants];
}

/** Plans 0 units for entries that are leaving. */
function addLeavingEntries(state: AllocationState, plan: Map<string, number>): void {
    for (const view of state.entries.values()) {
        if (view.isLeaving) {
            plan.set(view.holder, 0);
        }
    }
}

function listDemands(state: AllocationState, team: string, now: number): HolderDemand[] {
    const demands: HolderDemand[] = [];
    for (const view of state.entries.values()) {
        if (isEntryEligible(view, now)) {
            const wanted = Math.max(view.teamDemand.get(team)?.peak ?? 0, view.teamUse.get(team) ?? 0);
            demands.push({ holder: view.holder, wanted });
        }
    }
    return demands;
}

/** Counts the units that unresponsive, leaving and lost holders may be using. */
function countHeldByOthers(resource: ResourceGrants, demands: readonly HolderDemand[]): number {
    const planned = new Set(demands.map(demand => demand.holder));
    let granted = 0;
    for (const [holder, grant] of resource.grants) {
        granted += planned.has(holder) ? 0 : grant.ceiling;
    }
    return granted;
}
