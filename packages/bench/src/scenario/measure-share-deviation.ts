import type { TargetRun } from "../targets/target-run.js";

/** How near teams came to their shares, over the intervals in which all of them had work waiting. */
interface ShareDeviation {
    readonly intervals: number;
    /** Mean deviation from the share, percent of the share. */
    readonly meanPercent: number;
    /** Worst deviation of a team in an interval, percent of its share. */
    readonly worstPercent: number;
}

/**
 * Measures how near the teams came to their shares of the slot time that was used. Meant for runs in which every team
 * asks for more than its share all the time.
 * @param runs - what targets ran
 * @param shares - share by team
 * @param fromMs - start of the first interval, milliseconds of the runs' clock
 * @param toMs - end of the last
 * @param intervalMs - length of an interval
 * @returns the deviations
 */
export function measureShareDeviation(
    runs: readonly TargetRun[],
    shares: ReadonlyMap<string, number>,
    fromMs: number,
    toMs: number,
    intervalMs: number,
): ShareDeviation {
    const total = [...shares.values()].reduce((sum, share) => sum + share, 0);
    const deviations: number[] = [];
    let intervals = 0;
    for (let start = fromMs; start + intervalMs <= toMs; start += intervalMs) {
        intervals += 1;
        const used = new Map(
            [...shares.keys()].map(team => [team, computeUsedMs(runs, team, start, start + intervalMs)]),
        );
        const all = [...used.values()].reduce((sum, milliseconds) => sum + milliseconds, 0);
        for (const [team, share] of shares) {
            const due = all * share / total;
            deviations.push(due === 0 ? 0 : 100 * Math.abs((used.get(team) ?? 0) - due) / due);
        }
    }
    const mean = deviations.reduce((sum, deviation) => sum + deviation, 0) / Math.max(1, deviations.length);
    return { intervals, meanPercent: mean, worstPercent: Math.max(0, ...deviations) };
}

function computeUsedMs(runs: readonly TargetRun[], team: string, start: number, end: number): number {
    let used = 0;
    for (const run of runs) {
        if (run.team === team) {
            used += Math.max(0, Math.min(run.endedAt ?? end, end) - Math.max(run.startedAt, start));
        }
    }
    return used;
}
