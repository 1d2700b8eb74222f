/** Time without progress after which a task counts as stalled, milliseconds; restoring a checkpoint takes less. */
const stallTimeoutMs = 1_600;

interface LastProgress {
    readonly run: number;
    readonly percent: number;
    /** When this percentage was first reported, monotonic milliseconds. */
    readonly since: number;
}

/** Detects running tasks that make no progress. */
export class StallDetector {
    private readonly lastProgress = new Map<string, LastProgress>();

    /**
     * Records the progress of a task and tells whether it is stalled.
     * @param task - encoded task key
     * @param run - number of the run
     * @param percent - progress from 0 to 100
     * @param now - monotonic milliseconds
     * @returns true when the same run has reported the same percentage for the stall timeout
     */
    checkStalled(task: string, run: number, percent: number, now: number): boolean {
        const last = this.lastProgress.get(task);
        if (last === undefined || last.run !== run || last.percent !== percent) {
            this.lastProgress.set(task, { run, percent, since: now });
            return false;
        }
        return now - last.since >= stallTimeoutMs;
    }

    /**
     * Evicts tasks that are no longer running.
     * @param isRunning - whether a task, given by its encoded key, is running
     */
    dropEndedTasks(isRunning: (task: string) => boolean): void {
        for (const task of this.lastProgress.keys()) {
            if (!isRunning(task)) {
                this.lastProgress.delete(task);
            }
        }
    }
}
