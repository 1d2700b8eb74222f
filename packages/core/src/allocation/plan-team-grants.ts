import type { TeamGrant } from "../control/team-grant.js";
import { Invariant } from "../invariants/invariant.js";
import { applyLowering } from "./apply-lowering.js";
import { applyRaise } from "./apply-raise.js";
import { computeSplit } from "./compute-split.js";
import type { Demand } from "./demand.js";
import { isEntryPlanned } from "./is-entry-planned.js";
import type { LeaderState } from "./leader-state.js";
import { planRaises } from "./plan-raises.js";
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
    state: LeaderState,
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
        const plan = computeSplit(resource.capacity - countHeldByOthers(resource, demands), demands);
        addLeaving(state, plan);
        applyLowering(resource, plan, ++state.sequence);
        const raises = planRaises(resource, plan);
        for (const [holder, granted] of recorded.get(team) ?? []) {
            const ceiling = resource.grants.get(holder)?.ceiling ?? 0;
            if (ceiling < granted && !raises.has(holder)) {
                lowered.push({ team, holder, granted: ceiling });
            }
        }
        for (const [holder, units] of raises) {
            if (units <= (resource.grants.get(holder)?.ceiling ?? 0)) {
                // Within what is recorded for the holder already; recording less would hide what it may still use.
                applyRaise(resource, holder, units, state.sequence, Invariant.LimitNotExceeded);
                continue;
            }
            raised.push({ team, holder, granted: units });
        }
    }
    state.staleTeams.clear();
    return [...lowered, ...raised];
}

/** An entry that is leaving hands everything back. */
function addLeaving(state: LeaderState, plan: Map<string, number>): void {
    for (const view of state.entries.values()) {
        if (view.isLeaving) {
            plan.set(view.holder, 0);
        }
    }
}

function listDemands(state: LeaderState, team: string, now: number): Demand[] {
    const demands: Demand[] = [];
    for (const view of state.entries.values()) {
        if (isEntryPlanned(view, now)) {
            const wanted = Math.max(view.teamDemand.get(team)?.peak ?? 0, view.teamUse.get(team) ?? 0);
            demands.push({ holder: view.holder, wanted });
        }
    }
    return demands;
}

/** Units that silent, leaving and lost holders may be using. */
function countHeldByOthers(resource: ResourceGrants, demands: readonly Demand[]): number {
    const planned = new Set(demands.map(demand => demand.holder));
    let held = 0;
    for (const [holder, grant] of resource.grants) {
        held += planned.has(holder) ? 0 : grant.ceiling;
    }
    return held;
}
