import { HealthState } from "./health-state.js";
import type { TargetHealth } from "./target-health.js";

/**
 * Tells whether a target may receive one more request. When an ejection ends, the target changes to probing,
 * which admits one concurrent request at first and one more with each success.
 * @param health - the target's record; changed from ejected to probing when the ejection has ended
 * @param inUse - number of requests in flight at the target
 * @param now - monotonic milliseconds
 * @returns true when the target may receive the request
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
