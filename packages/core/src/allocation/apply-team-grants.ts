import type { TeamGrant } from "../control/team-grant.js";
import { Invariant } from "../invariants/invariant.js";
import type { AllocationState } from "./allocation-state.js";
import { applyIncrease } from "./apply-increase.js";
import { countGranted } from "./count-granted.js";
import { findOrCreateResource } from "./find-or-create-resource.js";

/**
 * Applies committed grants, so that the holders may use them.
 * @param state - the leader's allocation state
 * @param grants - the committed grants
 */
export function applyTeamGrants(state: AllocationState, grants: readonly TeamGrant[]): void {
    state.sequence += 1;
    for (const { team, holder, granted } of grants) {
        const resource = findOrCreateResource(state.teams, team);
        const current = resource.grants.get(holder);
        const ceiling = current?.ceiling ?? 0;
        if (granted === 0 && ceiling === 0) {
            resource.grants.delete(holder);
        }
        // The commit of a decreased grant only records a lower ceiling; it must not increase the allowance.
        if (granted <= ceiling) {
            continue;
        }
        // Limits may have changed and decreases may have been confirmed while the grants were committed.
        const free = Math.max(0, resource.capacity - countGranted(resource));
        const units = Math.min(granted, ceiling + free);
        if (units < granted) {
            state.staleTeams.add(team);
        }
        if (units > (current?.allowed ?? 0)) {
            applyIncrease(resource, holder, units, state.sequence, Invariant.LimitNotExceeded);
        }
    }
}
