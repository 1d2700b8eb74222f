import { maxRequestDelayMs } from "./max-request-delay-ms.js";

/** Largest difference between the wall clocks of a keeper and a target, milliseconds. */
const maxClockSkewMs = 10_000;

/**
 * Tells whether requests that were meant for an earlier incarnation of a target may still have been executed by this one
 * within the longest lease, because it has started recently.
 * @param incarnation - start of the target as it reports it, milliseconds since the Unix epoch
 * @param nowMs - wall clock of the keeper, milliseconds
 * @param maxLeaseMs - longest lease that a target accepts, milliseconds
 * @returns false for a target that has run for long, and for one that reports no start
 */
export function isRecentlyStarted(incarnation: number, nowMs: number, maxLeaseMs: number): boolean {
    return incarnation > 0 && nowMs - incarnation < maxRequestDelayMs + maxLeaseMs + maxClockSkewMs;
}
