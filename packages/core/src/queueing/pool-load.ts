/** Load of a pool and tasks waiting for it. */
export interface PoolLoad {
    readonly pool: string;
    /** Number of targets. */
    readonly targets: number;
    /** Thousandths of a core. */
    readonly capacity: number;
    /** Thousandths of a core reserved by tasks that may be running. */
    readonly used: number;
    /** Part of `used` that long-running tasks reserve. */
    readonly usedLongRunning: number;
    /** Number of tasks that wait to start. */
    readonly waiting: number;
    /** Thousandths of a core that the waiting tasks need. */
    readonly wanted: number;
    /** Number of waiting tasks whose job finishes on time only if it takes no longer than estimated; 0 while none is late. */
    readonly uncertain: number;
    /** Number of waiting tasks whose job is estimated to finish late. */
    readonly late: number;
    /** Number of waiting tasks under which targets have crashed and that have to run apart from others. */
    readonly suspects: number;
}
