import { countGranted } from "./count-granted.js";
import type { ResourceGrants } from "./resource-grants.js";

/**
 * Plans the allowances that may be increased now, such that the sum of the ceilings stays within the capacity.
 * @param resource - the current grants
 * @param plan - planned units by holder
 * @returns new allowances by holder, increases only
 */
export function planIncreases(resource: ResourceGrants, plan: ReadonlyMap<string, number>): Map<string, number> {
    const increases = new Map<string, number>();
    let free = resource.capacity - countGranted(resource);
    for (const [holder, units] of plan) {
        const grant = resource.grants.get(holder);
        const ceiling = grant?.ceiling ?? 0;
        const attainable = Math.min(units, ceiling + Math.max(0, free));
        if (attainable > (grant?.allowed ?? 0)) {
            increases.set(holder, attainable);
            free -= Math.max(0, attainable - ceiling);
        }
    }
    return increases;
}
