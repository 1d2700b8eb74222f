import type { HealthState } from "./health-state.js";

/** What is known of a target's conduct. */
export interface TargetHealth {
    state: HealthState;
    consecutiveFailures: number;
    /** Moving average of failures, from 0 to 1. */
    failureRate: number;
    samples: number;
    /** Monotonic milliseconds. */
    ejectedUntil: number;
    /** Ejections without a full recovery between them. */
    ejections: number;
    /** Successes since probing began. */
    probeSuccesses: number;
}
