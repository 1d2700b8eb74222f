import type { CrashHistory } from "./crash-history.js";
import { isRepeatedSuspect } from "./is-repeated-suspect.js";
import { RunProgress } from "./run-progress.js";

/** Time after which earlier crashes are forgotten, milliseconds; targets also crash for reasons of their own. */
const historyMs = 60_000;
/** Number of targets that have to crash under a task for certain before it is given up. */
const minConfirmedCount = 2;
/** Number of early crashes, on different VMs, at which a task that ran apart from others is given up. */
const poisonCrashCount = 2;
/** The same if all were on one VM, which may itself be the cause. */
const poisonCrashCountOnOneVm = 3;
/** Number of early crashes at which a task is given up even if others ran beside it. */
const maxEarlyCrashCount = 4;

/** The crash of a target under a run of a task. */
interface CrashUnderRun {
    readonly progress: RunProgress;
    /** VM of the target. */
    readonly vm: string;
    /** Whether no run of another job on the target can have caused the crash by its start. */
    readonly isOnlyRecentJob: boolean;
    /** Whether the task runs until it is stopped. */
    readonly isLongRunning: boolean;
    /** Wall clock of the leader, milliseconds. */
    readonly atMs: number;
}

const emptyHistory: CrashHistory = {
    crashCount: 0,
    confirmedCount: 0,
    earlyCrashCount: 0,
    isSuspect: false,
    isPoison: false,
    vms: [],
    lastCrashAtMs: 0,
};

/**
 * Updates the history of a task with the crash of a target under it. Many tasks may run on a target that crashes, and at
 * most a few of them caused it. Those that were just starting become suspects; one under which another target crashes
 * while no run of another job there is recent is given up, and its job with it. A task that had passed its probation is
 * cleared, unless targets keep crashing under it: it then runs apart for its whole run, and is given up if the target
 * crashes again.
 * @param history - the history; `undefined` for a task without crashes
 * @param crash - the crash
 * @returns the new history; `undefined` if there still is none
 */
export function updateCrashHistory(history: CrashHistory | undefined, crash: CrashUnderRun): CrashHistory | undefined {
    const { progress, vm, isOnlyRecentJob, isLongRunning, atMs } = crash;
    if (progress === RunProgress.Unsent) {
        return history;
    }
    const isExpired = history !== undefined && atMs - history.lastCrashAtMs > historyMs;
    const earlier = history === undefined || isExpired ? emptyHistory : history;
    const seen = {
        crashCount: earlier.crashCount + 1,
        confirmedCount: earlier.confirmedCount + (progress === RunProgress.Unconfirmed ? 0 : 1),
        vms: [...new Set([...earlier.vms, vm])],
        lastCrashAtMs: atMs,
    };
    if (progress === RunProgress.Settled) {
        // A long-running task is on some target at each crash of a storm, so that their number says little of it.
        return { ...emptyHistory, ...seen, isSuspect: !isLongRunning && isRepeatedSuspect(seen) };
    }
    const earlyCrashCount = earlier.earlyCrashCount + 1;
    const poisonCount = seen.vms.length > 1 ? poisonCrashCount : poisonCrashCountOnOneVm;
    const isConvicted = isOnlyRecentJob && progress === RunProgress.OnProbation
        && (isRepeatedSuspect(earlier) || earlyCrashCount >= poisonCount);
    return {
        ...seen,
        earlyCrashCount,
        isSuspect: true,
        isPoison: seen.confirmedCount >= minConfirmedCount
            && (isConvicted || earlyCrashCount >= maxEarlyCrashCount),
    };
}
