import type { CrashHistory } from "./crash-history.js";
import { isLateCrasher } from "./is-late-crasher.js";
import { RunProgress } from "./run-progress.js";

/** Time after which earlier crashes are forgotten, milliseconds; targets also crash for reasons of their own. */
const historyMs = 60_000;
/** Number of early crashes, on different VMs, at which a task that ran apart from others is given up. */
const poisonCrashCount = 2;
/** Number of early crashes at which a task is given up in any case. */
const maxEarlyCrashCount = 4;

/** The crash of a target under a run of a task. */
interface CrashUnderRun {
    readonly progress: RunProgress;
    /** VM of the target. */
    readonly vm: string;
    /** Whether no other run on the target can have caused the crash by its start. */
    readonly isOnlyRecentRun: boolean;
    /** Wall clock of the leader, milliseconds. */
    readonly atMs: number;
}

const emptyHistory: CrashHistory = {
    earlyCrashCount: 0,
    unconfirmedCount: 0,
    lateCrashCount: 0,
    isSuspect: false,
    isPoison: false,
    vms: [],
    lastCrashAtMs: 0,
};

/**
 * Updates the history of a task with the crash of a target under it. Many tasks may run on a target that crashes, and at
 * most a few of them caused it. Those that were just starting become suspects; one that crashes another target while no
 * other run there is recent is given up. A task that had passed its probation is cleared, unless targets keep crashing
 * under it.
 * @param history - the history; `undefined` for a task without crashes
 * @param crash - the crash
 * @returns the new history; `undefined` if there still is none
 */
export function updateCrashHistory(history: CrashHistory | undefined, crash: CrashUnderRun): CrashHistory | undefined {
    const { progress, vm, isOnlyRecentRun, atMs } = crash;
    if (progress === RunProgress.Unsent) {
        return history;
    }
    const isExpired = history !== undefined && atMs - history.lastCrashAtMs > historyMs;
    const earlier = history === undefined || isExpired ? emptyHistory : history;
    const seen = { vms: [...new Set([...earlier.vms, vm])], lastCrashAtMs: atMs };
    if (progress === RunProgress.Settled) {
        const lateCrashCount = earlier.lateCrashCount + 1;
        return { ...emptyHistory, ...seen, lateCrashCount, isSuspect: isLateCrasher({ lateCrashCount }) };
    }
    const earlyCrashCount = earlier.earlyCrashCount + 1;
    const unconfirmedCount = earlier.unconfirmedCount + (progress === RunProgress.Unconfirmed ? 1 : 0);
    // A single VM may itself be the cause, and an unconfirmed start may have arrived after the crash.
    const doubts = (seen.vms.length > 1 ? 0 : 1) + (unconfirmedCount > 0 ? 1 : 0);
    const isConvicted = isOnlyRecentRun && earlyCrashCount >= poisonCrashCount + doubts;
    return {
        ...earlier,
        ...seen,
        earlyCrashCount,
        unconfirmedCount,
        isSuspect: true,
        isPoison: isConvicted || earlyCrashCount >= maxEarlyCrashCount,
    };
}
