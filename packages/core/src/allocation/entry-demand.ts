/** An entry's demand for the slots of a pool or for units of a team's limit. */
export interface EntryDemand {
    /** Running and waiting requests. */
    wanted: number;
    /** Waiting requests. */
    waiting: number;
    /** Decaying maximum of `wanted`. Plans use it, so that they do not change with every request. */
    peak: number;
}
