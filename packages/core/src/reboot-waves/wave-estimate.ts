/** The minimum duration of a wave, by pool and in total. */
export interface WaveEstimate {
    readonly pools: readonly {
        readonly pool: string;
        /** Number of VMs of the pool in the wave. */
        readonly vms: number;
        /** Number of VMs that are unavailable at once. */
        readonly parallel: number;
        readonly minutes: number;
    }[];
    /** Duration of the slowest pool, since all pools proceed in parallel. */
    readonly minutes: number;
    /** Pools whose disruption budget is 0, so that the wave cannot complete. */
    readonly blocked: readonly string[];
}
