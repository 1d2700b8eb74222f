/**
 * Measures the median run time of a function. A third as many warm-up rounds, at least one, run first.
 * @param rounds - measured rounds
 * @param run - function to measure
 * @returns median run time, milliseconds
 */
export function measureMedianMs(rounds: number, run: () => void): number {
    const times: number[] = [];
    const warmupRounds = Math.max(1, Math.floor(rounds / 3));
    for (let round = 0; round < rounds + warmupRounds; round++) {
        const startedAt = performance.now();
        run();
        if (round >= warmupRounds) {
            times.push(performance.now() - startedAt);
        }
    }
    times.sort((a, b) => a - b);
    return times[Math.floor(times.length / 2)] ?? 0;
}
