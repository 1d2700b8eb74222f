import type { CrashHistory } from "./crash-history.js";

/** Number of targets that have to crash under a task whose runs had passed their probation. */
const minLateCrashCount = 3;

/**
 * Tells whether a task may be one that crashes its targets later than at its start.
 * @param history - crashes of targets under the task
 * @returns true when several targets crashed under runs that had passed their probation
 */
export function isLateCrasher({ lateCrashCount }: Pick<CrashHistory, "lateCrashCount">): boolean {
    return lateCrashCount >= minLateCrashCount;
}
