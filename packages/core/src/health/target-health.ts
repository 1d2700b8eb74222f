import type { HealthState } from "./health-state.js";

/** Health of a target, derived from the results of its requests. */
export interface TargetHealth {
    state: HealthState;
    consecutiveFailures: number;
    /** Exponential moving average of failures, from 0 to 1. */
    failureRate: number;
    /** Number of results since the last full recovery, or since the creation of the record. */
    samples: number;
    /** End of the newest ejection, monotonic milliseconds. */
    ejectedUntil: number;
    /** Number of ejections since the last full recovery, or since the creation of the record. */
    ejections: number;
    /** Number of successes since probing began. */
    probeSuccesses: number;
}
