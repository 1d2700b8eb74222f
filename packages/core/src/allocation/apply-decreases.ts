import type { ResourceGrants } from "./resource-grants.js";

/**
 * Decreases the allowances that exceed the plan. A ceiling stays until its holder confirms the decrease, see
 * confirmGrant.
 * @param resource - the grants to change
 * @param plan - planned units by holder; a holder that the plan does not contain keeps its allowance
 * @param sequence - sequence number of the change
 * @returns true when an allowance was decreased
 */
export function applyDecreases(resource: ResourceGrants, plan: ReadonlyMap<string, number>, sequence: number): boolean {
    let isChanged = false;
    for (const [holder, grant] of resource.grants) {
        const units = plan.get(holder);
        if (units !== undefined && units < grant.allowed) {
            grant.allowed = units;
            grant.sequence = sequence;
            isChanged = true;
        }
    }
    return isChanged;
}
