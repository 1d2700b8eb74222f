import type { ResourceGrants } from "./resource-grants.js";

/**
 * Notes that a holder has applied its allowances up to a sequence.
 * @param resource - the resource
 * @param holder - the holder
 * @param seenSequence - newest sequence that the holder has applied
 * @param inUse - units the holder still uses
 * @returns true when units became free
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
