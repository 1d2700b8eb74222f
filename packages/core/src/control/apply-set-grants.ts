import { ObjectKind } from "../tables/object-kind.js";
import type { ControlState } from "./control-state.js";
import type { SetGrantsCommand } from "./set-grants-command.js";
import type { TeamGrant } from "./team-grant.js";

/**
 * Sets grants of teams' upper limits. Refuses an increase that would raise the sum of a team's grants above its limit.
 * @param state - the replicated state, changed in place
 * @param command - the grants to set
 * @returns the grants that were set
 */
export function applySetGrants(state: ControlState, command: SetGrantsCommand): readonly TeamGrant[] {
    return command.grants.filter(grant => setGrant(state, grant));
}

function setGrant(state: ControlState, grant: TeamGrant): boolean {
    const holders = state.grants.get(grant.team) ?? new Map<string, number>();
    const current = holders.get(grant.holder) ?? 0;
    const limit = state.tables.objects[ObjectKind.Team].get(grant.team)?.value.upperLimit ?? 0;
    const sum = [...holders.values()].reduce((total, granted) => total + granted, 0);
    if (grant.granted > current && sum - current + grant.granted > limit) {
        return false;
    }
    if (grant.granted === 0) {
        holders.delete(grant.holder);
    }
    else {
        holders.set(grant.holder, grant.granted);
    }
    if (holders.size === 0) {
        state.grants.delete(grant.team);
    }
    else {
        state.grants.set(grant.team, holders);
    }
    return true;
}
