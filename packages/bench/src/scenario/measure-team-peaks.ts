import type { TargetRun } from "../targets/target-run.js";

/** Highest number of concurrent requests of a team. */
interface TeamPeak {
    readonly team: string;
    readonly peak: number;
    readonly upperLimit: number;
}

/**
 * Measures the highest number of concurrent requests of each team over all targets.
 * @param runs - runs of requests on all targets
 * @param limits - upper limit of concurrent requests by team
 * @returns the peak and the limit of each team
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
