import type { PoolStatus } from "./pool-status.js";

/** A pool as the planner of moves sees it. Amounts are thousandths of a core. */
export interface PoolForecast extends PoolStatus {
    /** What will be in use and wanted when a VM that is called now arrives. */
    readonly expected: number;
    /** Highest demand of the last moments: what it still needs when demand has only paused. */
    readonly peak: number;
    /** What it keeps at least, so that the beginning of its own turn is served. */
    readonly reserve: number;
}
