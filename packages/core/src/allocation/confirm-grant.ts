import type { ResourceGrants } from "./resource-grants.js";

/**
 * Records that a holder has applied its allowances up to a sequence number, and lowers its ceiling accordingly.
 * @param resource - the grants to change
 * @param holder - name of the holder
 * @param seenSequence - highest sequence number that the holder has applied
 * @param inUse - units that the holder still uses
 * @returns true when units were released
 */
export function confirmGrant(
    resource: ResourceGrants,
    holder: string,
    seenSequence: number,
    inUse: number,
): boolean {
    const grant = resource.grants.get(holder);
    if (grant === undefined || seenSequence < grant.sequence) {
        return false;
    }
    const ceiling = Math.min(grant.ceiling, Math.max(grant.allowed, inUse));
    const isFreed = ceiling < grant.ceiling;
    grant.ceiling = ceiling;
    return isFreed;
}
