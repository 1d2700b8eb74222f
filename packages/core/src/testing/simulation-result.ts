/** What a play came to. */
export interface SimulationResult {
    /** Worth of what was on time, as a share of all. */
    readonly onTimeShare: number;
    /** The same over the jobs of the two worst windows of two seconds. */
    readonly worstWindowsShare: number;
    /** The same for the worst pool. */
    readonly worstPoolShare: number;
    /** VM-seconds in pools that are switched on, VMs on their way to them included. */
    readonly vmSeconds: number;
    readonly moves: number;
}
