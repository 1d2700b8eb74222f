/**
 * Measures how long something takes, as the median of several rounds after some for warming up.
 * @param rounds - rounds that count
 * @param run - what to measure
 * @returns milliseconds
 */
export function measureMedian(rounds: number, run: () => void): number {
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
