import type { TargetRun } from "../targets/target-run.js";

/** Deviation of the slot time that teams used from their shares. */
interface ShareDeviation {
    /** Number of measured intervals. */
    readonly intervals: number;
    /** Mean absolute deviation over all teams and intervals, percent of the team's share. */
    readonly meanPercent: number;
    /** Largest deviation of a team in an interval, percent of the team's share. */
    readonly worstPercent: number;
}

/**
 * Measures how far the teams' slot time deviates from their shares of the slot time that all teams used. The result is
 * meaningful only if every team requests more than its share throughout the run.
 * @param runs - runs of requests on all targets
 * @param shares - share by team
 * @param fromMs - start of the first interval, milliseconds on the clock of the runs
 * @param toMs - end of the measurement; an interval that would end later is skipped
 * @param intervalMs - length of an interval, milliseconds
 * @returns mean and largest deviation
 */
export function measureShareDeviation(
    runs: readonly TargetRun[],
    shares: ReadonlyMap<string, number>,
    fromMs: number,
    toMs: number,
    intervalMs: number,
): ShareDeviation {
    const shareSum = [...shares.values()].reduce((sum, share) => sum + share, 0);
    const deviations: number[] = [];
    let intervals = 0;
    for (let start = fromMs; start + intervalMs <= toMs; start += intervalMs) {
        intervals += 1;
        const usedMsByTeam = new Map(
            [...shares.keys()].map(team => [team, computeUsedMs(runs, team, start, start + intervalMs)]),
        );
        const totalUsedMs = [...usedMsByTeam.values()].reduce((sum, milliseconds) => sum + milliseconds, 0);
        for (const [team, share] of shares) {
            const expectedMs = totalUsedMs * share / shareSum;
            deviations.push(
                expectedMs === 0 ? 0 : 100 * Math.abs((usedMsByTeam.get(team) ?? 0) - expectedMs) / expectedMs,
            );
        }
    }
    const mean = deviations.reduce((sum, deviation) => sum + deviation, 0) / Math.max(1, deviations.length);
    return { intervals, meanPercent: mean, worstPercent: Math.max(0, ...deviations) };
}

function computeUsedMs(runs: readonly TargetRun[], team: string, start: number, end: number): number {
    let usedMs = 0;
    for (const run of runs) {
        if (run.team === team) {
            usedMs += Math.max(0, Math.min(run.endedAt ?? end, end) - Math.max(run.startedAt, start));
        }
    }
    return usedMs;
}
