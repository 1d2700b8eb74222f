import type { RaftTiming } from "./raft-timing.js";

/**
 * Computes the lease that a voter grants, or is known to have granted.
 * @param timing - timing of the Raft protocol
 * @param leaseMs - the lease that is asked for or was granted, milliseconds; 0 or `undefined` for the usual one
 * @returns milliseconds
 */
export function computeGrantedLease({ leaseMs: usualMs, maxLeaseMs = usualMs }: RaftTiming, leaseMs = 0): number {
    return Math.min(Math.max(usualMs, leaseMs), maxLeaseMs);
}
