/** Time without progress after which a task counts as standing still, milliseconds; restoring a checkpoint takes less. */
const stillMs = 1_600;

interface SeenProgress {
    readonly run: number;
    readonly percent: number;
    /** When this percentage was first seen, monotonic milliseconds. */
    readonly since: number;
}

/** Watches whether tasks advance. */
export class ProgressWatch {
    private readonly seen = new Map<string, SeenProgress>();

    /**
     * Notes the progress of a task.
     * @param task - encoded task key
     * @param run - number of the run
     * @param percent - progress from 0 to 100
     * @param now - monotonic milliseconds
     * @returns whether the task stands still
     */
    isStill(task: string, run: number, percent: number, now: number): boolean {
        const known = this.seen.get(task);
        if (known === undefined || known.run !== run || known.percent !== percent) {
            this.seen.set(task, { run, percent, since: now });
            return false;
        }
        return now - known.since >= stillMs;
    }

    /**
     * Forgets tasks that are no longer there.
     * @param isThere - whether a task is
     */
    dropOthers(isThere: (task: string) => boolean): void {
        for (const task of this.seen.keys()) {
            if (!isThere(task)) {
                this.seen.delete(task);
            }
        }
    }
}
