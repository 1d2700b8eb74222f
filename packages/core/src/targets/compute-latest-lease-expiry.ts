import type { LeaseGrants } from "./lease-grants.js";
import { minClockRate } from "./min-clock-rate.js";

/**
 * Computes until when a target may execute runs without contact with the leader, on the slowest clock. An earlier leader
 * requested leases no longer than this one does. A request that was meant for an earlier incarnation carries an expiry
 * for another clock, so that only the longest lease that a target accepts bounds what it grants.
 * @param grants - the leases that the target may hold
 * @returns time on the leader's monotonic clock, milliseconds
 */
export function computeLatestLeaseExpiry(
    { leadingSince, strayRequestsUntil, ownExpiry, requestedLeaseMs, maxLeaseMs }: LeaseGrants,
): number {
    return Math.max(
        leadingSince + requestedLeaseMs / minClockRate,
        (strayRequestsUntil ?? -Infinity) + maxLeaseMs / minClockRate,
        ownExpiry ?? -Infinity,
    );
}
