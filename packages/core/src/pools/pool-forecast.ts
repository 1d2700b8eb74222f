import type { PoolStatus } from "./pool-status.js";

/** Status of a pool with its forecast demand, the input of the move planner. Amounts are thousandths of a core. */
export interface PoolForecast extends PoolStatus {
    /** Forecast demand (in use plus waiting) at the time when a VM requested now begins to serve. */
    readonly expected: number;
    /** The same without waiting tasks that cannot be on time any more. */
    readonly expectedOnTime: number;
    /** Highest recent forecast, for which VMs may be under way or have just arrived. */
    readonly expectedPeak: number;
    /** Highest recent demand, which the pool still needs when demand has only paused. */
    readonly peak: number;
    /** Capacity that the pool does not lend, so that it can serve the beginning of its own burst. */
    readonly reserve: number;
}
