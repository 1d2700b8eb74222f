import type { PoolStatus } from "./pool-status.js";

/** Status of a pool with its forecast demand, the input of the move planner. Amounts are thousandths of a core. */
export interface PoolForecast extends PoolStatus {
    /** Forecast demand (in use plus waiting) at the time when a VM requested now begins to serve. */
    readonly expected: number;
    /** Highest recent demand, which the pool still needs when demand has only paused. */
    readonly peak: number;
    /**
     * Capacity with which the pool waits for the beginning of its own burst, which comes faster than VMs can be moved.
     * Spare VMs fill it up; it is lent only to a pool whose tasks have no capacity left.
     */
    readonly reserve: number;
    /** Part of the reserve that is never lent. */
    readonly protectedReserve: number;
}
