/** Time without progress after which a task counts as standing still, milliseconds; restoring a checkpoint takes less. */
const stallTimeoutMs = 1_600;

interface LastProgress {
    readonly run: number;
    readonly percent: number;
    /** When this percentage was first seen, monotonic milliseconds. */
    readonly since: number;
}

/** Watches whether tasks advance. */
export class StallDetector {
    private readonly lastProgress = new Map<string, LastProgress>();

    /**
     * Notes the progress of a task.
     * @param task - encoded task key
     * @param run - number of the run
     * @param percent - progress from 0 to 100
     * @param now - monotonic milliseconds
     * @returns whether the task stands still
     */
    checkStalled(task: string, run: number, percent: number, now: number): boolean {
        const known = this.lastProgress.get(task);
        if (known === undefined || known.run !== run || known.percent !== percent) {
            this.lastProgress.set(task, { run, percent, since: now });
            return false;
        }
        return now - known.since >= stallTimeoutMs;
    }

    /**
     * Forgets tasks that are no longer there.
     * @param isThere - whether a task is
     */
    dropEndedTasks(isThere: (task: string) => boolean): void {
        for (const task of this.lastProgress.keys()) {
            if (!isThere(task)) {
                this.lastProgress.delete(task);
            }
        }
    }
}
