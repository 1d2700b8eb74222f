/**
 * Samples a service time from a log-normal distribution, with the Box-Muller transform.
 * @param medianMs - median of the distribution, milliseconds
 * @param spread - standard deviation of the logarithm of the time
 * @param random - returns uniform random numbers in [0, 1)
 * @returns the service time, milliseconds
 */
export function pickServiceMs(medianMs: number, spread: number, random: () => number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    return medianMs * Math.exp(spread * normal);
}
