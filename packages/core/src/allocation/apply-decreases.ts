import type { ResourceGrants } from "./resource-grants.js";

/**
 * Lowers the allowances that are above the plan. The ceilings follow when the holders confirm.
 * @param resource - the resource
 * @param plan - wanted units by holder; a holder that is missing keeps what it has
 * @param sequence - sequence of the change
 * @returns true when anything changed
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
