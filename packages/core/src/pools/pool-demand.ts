/** What the tasks of a pool use and need, thousandths of a core. */
export interface PoolDemand {
    /** Capacity of its targets. */
    readonly capacity: number;
    /** The part of `capacity` of targets that take no start at this moment, for whatever reason. */
    readonly unusable: number;
    /** Resources in use by tasks that may be running. */
    readonly used: number;
    /** The part of `used` that long-running tasks hold. */
    readonly usedLongRunning: number;
    /** Resources that waiting tasks request. */
    readonly wanted: number;
}
