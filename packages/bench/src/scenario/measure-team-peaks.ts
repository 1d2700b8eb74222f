import type { TargetRun } from "../targets/target-run.js";

/** Most requests of a team that ran at once. */
interface TeamPeak {
    readonly team: string;
    readonly peak: number;
    readonly upperLimit: number;
}

/**
 * Measures how many requests of each team ran at once over all targets.
 * @param runs - what targets ran
 * @param limits - upper limit by team
 * @returns the peaks
 */
export function measureTeamPeaks(runs: readonly TargetRun[], limits: ReadonlyMap<string, number>): TeamPeak[] {
    return [...limits].map(([team, upperLimit]) => {
        const changes = runs
            .filter(run => run.team === team)
            .flatMap(run => [{ at: run.startedAt, by: 1 }, { at: run.endedAt ?? Infinity, by: -1 }])
            .sort((a, b) => a.at - b.at || a.by - b.by);
        let running = 0;
        let peak = 0;
        for (const change of changes) {
            running += change.by;
            peak = Math.max(peak, running);
        }
        return { team, peak, upperLimit };
    });
}
