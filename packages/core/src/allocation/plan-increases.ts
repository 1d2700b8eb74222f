import { countGranted } from "./count-granted.js";
import type { ResourceGrants } from "./resource-grants.js";

/**
 * Plans which allowances may rise now without the sum of what may be in use going above the capacity.
 * @param resource - the resource
 * @param plan - wanted units by holder
 * @returns new allowances by holder, only those that rise
 */
export function planIncreases(resource: ResourceGrants, plan: ReadonlyMap<string, number>): Map<string, number> {
    const raises = new Map<string, number>();
    let free = resource.capacity - countGranted(resource);
    for (const [holder, units] of plan) {
        const grant = resource.grants.get(holder);
        const ceiling = grant?.ceiling ?? 0;
        const reachable = Math.min(units, ceiling + Math.max(0, free));
        if (reachable > (grant?.allowed ?? 0)) {
            raises.set(holder, reachable);
            free -= Math.max(0, reachable - ceiling);
        }
    }
    return raises;
}
