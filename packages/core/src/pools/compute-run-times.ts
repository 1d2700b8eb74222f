import type { RunTimes } from "./run-times.js";

const completePercent = 100;

/**
 * Estimates when a run ends from its progress. The percentage is rounded, so that the true one may be a percent higher.
 * @param elapsedMs - time since its start, milliseconds
 * @param elapsedAtMs - the same at the time of the percentage
 * @param percent - its progress then, 0 to 100
 * @returns the times; at least as much as is shown remains
 */
export function computeRunTimes(elapsedMs: number, elapsedAtMs: number, percent: number): RunTimes {
    const done = Math.min(completePercent, percent + 1);
    const lengthMs = elapsedAtMs * completePercent / done;
    return { elapsedMs, remainingMs: Math.max(0, lengthMs - elapsedMs) };
}
