/** Demand of a pool that a decision counts, thousandths of a core. */
export interface CountedDemand {
    /** In use and waiting. */
    readonly current: number;
    readonly expected: number;
}
