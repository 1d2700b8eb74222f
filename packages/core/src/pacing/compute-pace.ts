/** Tail latency, as a share of its limit, from which the pace is halved. */
const halvingThreshold = 0.8;
/** Tail latency, as a share of its limit, up to which the pace recovers. */
const recoveryThreshold = 0.55;
/** Percentage points by which the pace rises at a time. */
const recoveryStepPercent = 20;
const fullPacePercent = 100;

/**
 * Computes the pace of fillers (best-effort tasks) on a target that also runs tasks that serve users. As interference
 * changes within seconds, a tail latency near its limit halves the pace at once, and one at or above its limit stops the
 * fillers. The pace recovers in steps while the tail latency is low.
 * @param pace - the current pace, 0 to 100 percent
 * @param worstShare - highest tail latency of the tasks that serve users, as a share of its limit
 * @returns the new pace, 0 to 100 percent
 */
export function computePace(pace: number, worstShare: number): number {
    if (worstShare >= 1) {
        return 0;
    }
    if (worstShare >= halvingThreshold) {
        return Math.floor(pace / 2);
    }
    return worstShare <= recoveryThreshold ? Math.min(fullPacePercent, pace + recoveryStepPercent) : pace;
}
