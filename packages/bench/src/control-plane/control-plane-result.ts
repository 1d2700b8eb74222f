import type { computePercentiles } from "./compute-percentiles.js";

/** Measurements of table changes. Times are in milliseconds. */
export interface ControlPlaneResult {
    /** Number of keepers (control-plane replicas). */
    readonly keepers: number;
    /** Changes per second when they are sent one at a time. */
    readonly sequential: number;
    /** Changes per second when many are sent concurrently. */
    readonly grouped: number;
    /** Time from sending a change until every entry has applied it. */
    readonly inForceMs: ReturnType<typeof computePercentiles>;
    /** Time from killing the leader until a change sent at that moment is accepted. */
    readonly throughKillMs: readonly number[];
    /** Time from the acceptance of a revocation until a partitioned zone refuses the key. */
    readonly revocationMs: readonly number[];
    /** Time from restarting a killed keeper until it follows the leader without lag. */
    readonly recoveryMs: number;
}
