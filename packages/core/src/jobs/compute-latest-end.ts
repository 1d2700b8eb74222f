/**
 * Computes when the last of some steps ends.
 * @param ends - end of each step, milliseconds
 * @param steps - positions of steps; a list that a caller sent, which may be long and name a step again
 * @returns the latest of their ends; 0 for no steps
 */
export function computeLatestEnd(ends: readonly number[], steps: readonly number[]): number {
    return steps.reduce((latest, step) => Math.max(latest, ends[step] ?? 0), 0);
}
