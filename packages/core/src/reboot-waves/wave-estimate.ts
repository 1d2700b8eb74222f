/** How long a wave takes at best, and whether it can be done in time. */
export interface WaveEstimate {
    readonly pools: readonly {
        readonly pool: string;
        readonly vms: number;
        /** VMs out at once. */
        readonly parallel: number;
        readonly minutes: number;
    }[];
    /** Longest of the pools. */
    readonly minutes: number;
    /** Pools whose budget allows nothing, so that the wave can't end. */
    readonly blocked: readonly string[];
}
