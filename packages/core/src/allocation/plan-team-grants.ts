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
 * Plans the parts of the upper limit of every stale team. Allowances that fall do so at once; those that rise have to
 * be committed first.
 * @param state - the leader
 * @param recorded - the grants in the replicated state, by team and holder
 * @param now - monotonic milliseconds
 * @returns grants to commit, those that fall first; to be passed to applyTeamGrants afterwards
 */
export function planTeamGrants(
    state: AllocationState,
    recorded: ReadonlyMap<string, ReadonlyMap<string, number>>,
    now: number,
): TeamGrant[] {
    const lowered: TeamGrant[] = [];
    const raised: TeamGrant[] = [];
    for (const team of state.staleTeams) {
        const resource = state.teams.get(team);
        if (resource === undefined) {
            continue;
        }
        const demands = listDemands(state, team, now);
        const plan = computeFairSplit(resource.capacity - countHeldByOthers(resource, demands), demands);
        addLeavingEntries(state, plan);
        applyDecreases(resource, plan, ++state.sequence);
        const raises = planIncreases(resource, plan);
        for (const [holder, granted] of recorded.get(team) ?? []) {
            const ceiling = resource.grants.get(holder)?.ceiling ?? 0;
            if (ceiling < granted && !raises.has(holder)) {
                lowered.push({ team, holder, granted: ceiling });
            }
        }
        for (const [holder, units] of raises) {
            if (units <= (resource.grants.get(holder)?.ceiling ?? 0)) {
                // Within what is recorded for the holder already; recording less would hide what it may still use.
                applyIncrease(resource, holder, units, state.sequence, Invariant.LimitNotExceeded);
                continue;
            }
            raised.push({ team, holder, granted: units });
        }
    }
    state.staleTeams.clear();
    return [...lowered, ...raised];
}

/** An entry that is leaving hands everything back. */
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

/** Units that silent, leaving and lost holders may be using. */
function countHeldByOthers(resource: ResourceGrants, demands: readonly HolderDemand[]): number {
    const planned = new Set(demands.map(demand => demand.holder));
    let held = 0;
    for (const [holder, grant] of resource.grants) {
        held += planned.has(holder) ? 0 : grant.ceiling;
    }
    return held;
}
