/** Jobs that must fail in a row, with nothing done between, before their target is suspected; one job may be at fault itself. */
const maxFailedJobs = 3;
/** Time for which a suspected target is left out at first, milliseconds; doubled each time up to the longest. */
const firstPauseMs = 2_000;
const longestPauseMs = 8_000;

/**
 * Judges a target by how its runs end and by whether they advance. Answers targets that fail all they are given, and so
 * would attract ever more work, and targets on which tasks stand still: such a one is left out, then tried with one task
 * at a time until something is done there.
 */
export class TargetHealth {
    private readonly failedJobs = new Set<string>();
    private pauseMs = firstPauseMs;
    private leftOutUntil = 0;
    private isSuspected = false;

    /** Notes a run that was done. */
    noteDone(): void {
        this.failedJobs.clear();
        this.pauseMs = firstPauseMs;
        this.leftOutUntil = 0;
        this.isSuspected = false;
    }

    /**
     * Notes a run that failed.
     * @param job - id of its job
     * @param now - monotonic milliseconds
     * @returns whether the target is left out because of it
     */
    noteFailed(job: string, now: number): boolean {
        this.failedJobs.add(job);
        const isBad = this.isSuspected || this.failedJobs.size >= maxFailedJobs;
        if (isBad) {
            this.setLeftOut(now);
        }
        return isBad;
    }

    /**
     * Notes a run that stands still.
     * @param now - monotonic milliseconds
     */
    noteStill(now: number): void {
        this.setLeftOut(now);
    }

    /**
     * Tells how many tasks may be started on the target.
     * @param running - tasks that may be running there
     * @param now - monotonic milliseconds
     * @returns 0 while it is left out, 1 while it is tried, otherwise no bound
     */
    countStartsLeft(running: number, now: number): number {
        if (now < this.leftOutUntil) {
            return 0;
        }
        return this.isSuspected ? Math.max(0, 1 - running) : Number.POSITIVE_INFINITY;
    }

    private setLeftOut(now: number): void {
        if (now >= this.leftOutUntil) {
            this.leftOutUntil = now + this.pauseMs;
            this.pauseMs = Math.min(longestPauseMs, this.pauseMs * 2);
        }
        this.isSuspected = true;
    }
}
