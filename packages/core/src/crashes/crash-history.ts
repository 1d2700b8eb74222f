/** Crashes of targets under the runs of one task. */
export interface CrashHistory {
    /** Number of targets that crashed under its runs. */
    readonly crashCount: number;
    /** Number of these that had confirmed the start of the run; the start at the others may have arrived too late. */
    readonly confirmedCount: number;
    /** Number of targets that crashed before the run had passed its probation, since a run last passed it. */
    readonly earlyCrashCount: number;
    /** Whether the next run has to pass its probation apart from other recent runs. */
    readonly isSuspect: boolean;
    /** Whether the task is given up. */
    readonly isPoison: boolean;
    /** VMs of the targets. */
    readonly vms: readonly string[];
    /** Wall clock of the leader at the newest crash, milliseconds. */
    readonly lastCrashAtMs: number;
}
