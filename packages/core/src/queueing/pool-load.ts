/** How full a pool is, and what waits for it. */
export interface PoolLoad {
    readonly pool: string;
    readonly targets: number;
    /** Thousandths of a core. */
    readonly capacity: number;
    /** Thousandths of a core that may be in use. */
    readonly used: number;
    /** Of it, for long-running tasks. */
    readonly usedLongRunning: number;
    /** Tasks that wait to be started. */
    readonly waiting: number;
    /** Thousandths of a core that the waiting tasks ask for. */
    readonly wanted: number;
    /** Tasks whose job can't be on time any more. */
    readonly late: number;
}
