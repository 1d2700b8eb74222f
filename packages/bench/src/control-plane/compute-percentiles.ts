/** Median, 99th percentile and maximum. */
interface Percentiles {
    readonly p50: number;
    readonly p99: number;
    readonly max: number;
}

/**
 * Computes percentiles of a few values.
 * @param values - the values
 * @returns the percentiles
 */
export function computePercentiles(values: readonly number[]): Percentiles {
    const ordered = [...values].sort((a, b) => a - b);
    const read = (part: number) => ordered[Math.min(ordered.length - 1, Math.floor(ordered.length * part))] ?? 0;
    return { p50: read(0.5), p99: read(0.99), max: ordered.at(-1) ?? 0 };
}
