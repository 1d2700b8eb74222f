/** Result of a pool simulation. */
export interface SimulationResult {
    /** Weight of the jobs that ended on time, as a share of the weight of all jobs; late jobs count in part. */
    readonly onTimeShare: number;
    /** Mean of the same share over the two worst windows of two seconds, by time of submission. */
    readonly worstWindowsShare: number;
    /** The same share over the jobs of the worst pool. */
    readonly worstPoolShare: number;
    /**
     * Served share of the largest tenth of a pool's jobs, or of the fifth below it, relative to that of all its jobs;
     * the lowest of all pools. Jobs that end too late to earn anything do not count as served.
     */
    readonly worstSizeRatio: number;
    /** Share of the jobs whose first step had started wholly within 600 ms, in the two worst windows. */
    readonly worstPromptShare: number;
    /** Share of the jobs whose first step had started wholly within 1.5 s. */
    readonly startedInTimeShare: number;
    /** VM-seconds of powered-on VMs, including VMs on their way to a pool that is not spare. */
    readonly vmSeconds: number;
    /** Number of VM moves that were started. */
    readonly moves: number;
    /**
     * Share of the core-seconds that are free in pools in which nothing waits, of those of all pools while tasks wait in
     * some; 0 when none wait.
     */
    readonly stuckShare: number;
    /** Core-seconds of work that was thrown away by stops. */
    readonly lostCoreSeconds: number;
}
