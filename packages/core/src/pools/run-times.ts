/** Progress of a run, milliseconds. */
export interface RunTimes {
    readonly elapsedMs: number;
    /** Estimated time until it ends. */
    readonly remainingMs: number;
}
