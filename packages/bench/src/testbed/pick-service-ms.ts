/**
 * Picks a service time from a log-normal distribution.
 * @param medianMs - its median, milliseconds
 * @param spread - standard deviation of its logarithm
 * @param random - numbers from 0 to below 1
 * @returns milliseconds
 */
export function pickServiceMs(medianMs: number, spread: number, random: () => number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    return medianMs * Math.exp(spread * normal);
}
