/**
 * Longest wait of a renewal for a run to end while the leader has time to spare, milliseconds. The ends of a target that
 * leaves a renewal unanswered are learned only with the next one, so that the wait bounds by how much their jobs are late.
 */
const shortestMs = 500;
/** The same for a leader without time to spare; targets on which nothing ends are then most of its requests. */
const longestMs = 1_500;
/** Utilization from which the wait grows, and from which it is the longest. */
const spareUtilization = 0.6;
const fullUtilization = 0.85;

/**
 * Computes for how long a renewal may wait for a run to end. A leader that is short of processor time renews less often,
 * so that its load falls when it slows down.
 * @param utilization - share of the time in which the leader's event loop is busy, 0 to 1
 * @returns whole milliseconds
 */
export function computePollTimeoutMs(utilization: number): number {
    const part = (utilization - spareUtilization) / (fullUtilization - spareUtilization);
    return Math.round(shortestMs + Math.min(1, Math.max(0, part)) * (longestMs - shortestMs));
}
