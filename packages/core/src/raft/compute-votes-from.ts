import { computeGrantedLease } from "./compute-granted-lease.js";
import type { RaftTiming } from "./raft-timing.js";

/**
 * Computes until when a voter that has granted a lease votes for no other keeper: a margin for clock drift longer than
 * the lease.
 * @param timing - timing of the Raft protocol
 * @param leaseMs - the lease that the leader asks for, milliseconds; 0 or `undefined` for the usual one
 * @param now - monotonic milliseconds
 * @returns monotonic milliseconds
 */
export function computeVotesFrom(timing: RaftTiming, leaseMs: number | undefined, now: number): number {
    return now + timing.minElectionTimeoutMs + computeGrantedLease(timing, leaseMs) - timing.leaseMs;
}
