import { HealthState } from "./health-state.js";
import type { TargetHealth } from "./target-health.js";

const maxConsecutiveFailures = 3;
const maxFailureRate = 0.5;
/** Results before the failure rate counts. */
const minSamples = 10;
const failureRateWeight = 0.1;
const firstEjectionMs = 1_000;
const maxEjectionMs = 30_000;
const successesToRecover = 5;

/**
 * Notes how an attempt at a target ended and ejects or readmits the target.
 * @param health - the target's record, changed in place
 * @param isFailure - whether the attempt failed through the target's fault
 * @param now - monotonic milliseconds
 */
export function recordTargetResult(health: TargetHealth, isFailure: boolean, now: number): void {
    health.samples += 1;
    health.failureRate += failureRateWeight * ((isFailure ? 1 : 0) - health.failureRate);
    if (isFailure) {
        recordFailure(health, now);
        return;
    }
    health.consecutiveFailures = 0;
    if (health.state !== HealthState.Probing) {
        return;
    }
    health.probeSuccesses += 1;
    if (health.probeSuccesses >= successesToRecover) {
        health.state = HealthState.Healthy;
        health.ejections = 0;
        health.failureRate = 0;
        health.samples = 0;
    }
}

function recordFailure(health: TargetHealth, now: number): void {
    health.consecutiveFailures += 1;
    const isRateHigh = health.samples >= minSamples && health.failureRate > maxFailureRate;
    const isBad = health.state === HealthState.Probing || isRateHigh
        || health.consecutiveFailures >= maxConsecutiveFailures;
    if (!isBad || health.state === HealthState.Ejected) {
        return;
    }
    health.state = HealthState.Ejected;
    health.ejectedUntil = now + Math.min(maxEjectionMs, firstEjectionMs * 2 ** health.ejections);
    health.ejections += 1;
    health.probeSuccesses = 0;
}
