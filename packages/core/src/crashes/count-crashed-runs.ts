import type { CrashedRun } from "./crashed-run.js";
import { RunProgress } from "./run-progress.js";

/**
 * Counts the runs on a target that has ended, and those that were too young to rule out that they crashed it.
 * @param runs - the runs
 * @returns the numbers
 */
export function countCrashedRuns(runs: readonly CrashedRun[]): { readonly runs: number; readonly recent: number } {
    const isRecent = ({ progress }: CrashedRun): boolean =>
        progress === RunProgress.OnProbation || progress === RunProgress.Unconfirmed;
    return { runs: runs.length, recent: runs.filter(isRecent).length };
}
