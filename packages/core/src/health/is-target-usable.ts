import { HealthState } from "./health-state.js";
import type { TargetHealth } from "./target-health.js";

/**
 * Tells whether a target may receive one more request. An ejection that has ended turns into probing, which admits
 * one request at first and one more with each success.
 * @param health - the target's record; its state moves on with time
 * @param inUse - requests under way at the target
 * @param now - monotonic milliseconds
 * @returns true when it may
 */
export function isTargetUsable(health: TargetHealth, inUse: number, now: number): boolean {
    if (health.state === HealthState.Healthy) {
        return true;
    }
    if (health.state === HealthState.Ejected) {
        if (now < health.ejectedUntil) {
            return false;
        }
        health.state = HealthState.Probing;
        health.probeSuccesses = 0;
    }
    return inUse < 1 + health.probeSuccesses;
}
