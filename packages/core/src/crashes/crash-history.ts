/** Crashes of targets under the runs of one task. */
export interface CrashHistory {
    /** Number of targets that crashed before the run had passed its probation, since a run last passed it. */
    readonly earlyCrashCount: number;
    /** Number of these that had not confirmed the start of the run. */
    readonly unconfirmedCount: number;
    /** Number of targets that crashed after the run had passed its probation. */
    readonly lateCrashCount: number;
    /** Whether the next run has to pass its probation apart from other recent runs. */
    readonly isSuspect: boolean;
    /** Whether the task is given up. */
    readonly isPoison: boolean;
    /** VMs of the targets. */
    readonly vms: readonly string[];
    /** Wall clock of the leader at the newest crash, milliseconds. */
    readonly lastCrashAtMs: number;
}
