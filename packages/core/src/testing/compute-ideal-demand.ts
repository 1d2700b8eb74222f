import type { SimulatedJob } from "./simulated-job.js";

const binMs = 100;

/**
 * Computes what a load requests over time if none of its tasks waits.
 * @param jobs - the jobs
 * @returns thousandths of a core, the mean of each 100 ms
 */
export function computeIdealDemand(jobs: readonly SimulatedJob[]): readonly number[] {
    const demand: number[] = [];
    for (const { atMs, steps, durationsMs } of jobs) {
        let from = atMs;
        steps.forEach(({ count, needs }, position) => {
            const to = from + (durationsMs[position] ?? 0);
            for (let bin = Math.floor(from / binMs); bin * binMs < to; bin++) {
                const overlapMs = Math.min(to, (bin + 1) * binMs) - Math.max(from, bin * binMs);
                demand[bin] = (demand[bin] ?? 0) + count * needs.cpu * overlapMs / binMs;
            }
            from = to;
        });
    }
    return Array.from(demand, value => value ?? 0);
}
