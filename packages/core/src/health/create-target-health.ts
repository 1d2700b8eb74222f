import { HealthState } from "./health-state.js";
import type { TargetHealth } from "./target-health.js";

/**
 * Creates the health record of a target that has no results yet.
 * @returns a healthy record
 */
export function createTargetHealth(): TargetHealth {
    return {
        state: HealthState.Healthy,
        consecutiveFailures: 0,
        failureRate: 0,
        samples: 0,
        ejectedUntil: 0,
        ejections: 0,
        probeSuccesses: 0,
    };
}
