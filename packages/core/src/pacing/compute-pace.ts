/** Share of its bound at which a tail counts as endangered, and at which it counts as calm again. */
const halvingThreshold = 0.8;
const recoveryThreshold = 0.55;
/** Percent points by which fillers are let back at a time. */
const recoveryStepPercent = 20;
const fullPacePercent = 100;

/**
 * Computes the pace of the fillers beside tasks that serve users. Answers disturbance that changes within seconds: a tail
 * near its bound halves the pace at once, and stops the fillers when the bound is passed; calm gives it back in steps.
 * @param pace - the pace in force, 0 to 100
 * @param worstShare - highest tail latency beside the fillers as a share of its bound
 * @returns the new pace, 0 to 100
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
