import { HealthState } from "./health-state.js";
import type { TargetHealth } from "./target-health.js";

const maxConsecutiveFailures = 3;
const maxFailureRate = 0.5;
/** Minimum number of results before the failure rate can eject a target. */
const minSamples = 10;
/** Weight of the newest result in the moving average of the failure rate. */
const failureRateWeight = 0.1;
/** Duration of the first ejection; doubles with each ejection until the target has fully recovered. */
const firstEjectionMs = 1_000;
const maxEjectionMs = 30_000;
/** Successful probes after which a target is healthy again. */
const successesToRecover = 5;

/**
 * Records the result of an attempt at a target, and ejects or readmits the target.
 * @param health - the target's record, changed in place
 * @param isFailure - whether the attempt failed because of the target
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
    const isRateExceeded = health.samples >= minSamples && health.failureRate > maxFailureRate;
    const mustEject = health.state === HealthState.Probing || isRateExceeded
        || health.consecutiveFailures >= maxConsecutiveFailures;
    if (!mustEject || health.state === HealthState.Ejected) {
        return;
    }
    health.state = HealthState.Ejected;
    health.ejectedUntil = now + Math.min(maxEjectionMs, firstEjectionMs * 2 ** health.ejections);
    health.ejections += 1;
    health.probeSuccesses = 0;
}
