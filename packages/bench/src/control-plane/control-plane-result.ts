import type { computePercentiles } from "./compute-percentiles.js";

/** Figures of changes of the tables. Times are milliseconds. */
export interface ControlPlaneResult {
    readonly keepers: number;
    /** Changes a second, one at a time. */
    readonly sequential: number;
    /** Changes a second, many at a time. */
    readonly grouped: number;
    readonly inForceMs: ReturnType<typeof computePercentiles>;
    readonly throughKillMs: readonly number[];
    readonly revocationMs: readonly number[];
    readonly recoveryMs: number;
}
