import type { CrashHistory } from "./crash-history.js";

/** Number of targets that crashed under a task, at whatever time of its runs, from which it is suspected of all of them. */
const minCrashCount = 3;

/**
 * Tells whether so many targets have crashed under a task that it is suspected although it had run there for some time.
 * @param history - crashes of targets under the task
 * @returns true when its next run has to run apart from others until it ends
 */
export function isRepeatedSuspect({ crashCount }: Pick<CrashHistory, "crashCount">): boolean {
    return crashCount >= minCrashCount;
}
