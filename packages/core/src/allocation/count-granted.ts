import type { ResourceGrants } from "./resource-grants.js";

/**
 * Counts the units of a resource that may be in use.
 * @param resource - the grants
 * @returns the sum of the ceilings
 */
export function countGranted(resource: ResourceGrants): number {
    let sum = 0;
    for (const grant of resource.grants.values()) {
        sum += grant.ceiling;
    }
    return sum;
}
