/** Result of a pool simulation. */
export interface SimulationResult {
    /** Weight of the jobs that ended on time, as a share of the weight of all jobs; late jobs count in part. */
    readonly onTimeShare: number;
    /** Mean of the same share over the two worst windows of two seconds. */
    readonly worstWindowsShare: number;
    /** The same for the worst pool. */
    readonly worstPoolShare: number;
    /** VM-seconds of powered-on VMs, including VMs that are moving to a pool. */
    readonly vmSeconds: number;
    readonly moves: number;
}
