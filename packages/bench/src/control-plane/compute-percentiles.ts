/** Median, 99th percentile and maximum. */
interface Percentiles {
    readonly p50: number;
    readonly p99: number;
    readonly max: number;
}

/**
 * Computes the median, the 99th percentile and the maximum of samples, without interpolation.
 * @param values - samples in any order
 * @returns the percentiles; all 0 when there are no samples
 */
export function computePercentiles(values: readonly number[]): Percentiles {
    const sorted = [...values].sort((a, b) => a - b);
    const readPercentile = (fraction: number) =>
        sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;
    return { p50: readPercentile(0.5), p99: readPercentile(0.99), max: sorted.at(-1) ?? 0 };
}
