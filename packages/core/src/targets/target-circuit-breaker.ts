/** Jobs that must fail in a row, with nothing done between, before their target is suspected; one job may be at fault itself. */
const failedJobThreshold = 3;
/** Time for which a suspected target is left out at first, milliseconds; doubled each time up to the longest. */
const initialOpenMs = 2_000;
const maxOpenMs = 8_000;

/**
 * Judges a target by how its runs end and by whether they advance. Answers targets that fail all they are given, and so
 * would attract ever more work, and targets on which tasks stand still: such a one is left out, then tried with one task
 * at a time until something is done there.
 */
export class TargetCircuitBreaker {
    private readonly failedJobs = new Set<string>();
    private openMs = initialOpenMs;
    private openUntil = 0;
    private isTripped = false;

    /** Notes a run that was done. */
    recordSuccess(): void {
        this.failedJobs.clear();
        this.openMs = initialOpenMs;
        this.openUntil = 0;
        this.isTripped = false;
    }

    /**
     * Notes a run that failed.
     * @param job - id of its job
     * @param now - monotonic milliseconds
     * @returns whether the target is left out because of it
     */
    recordFailure(job: string, now: number): boolean {
        this.failedJobs.add(job);
        const isBad = this.isTripped || this.failedJobs.size >= failedJobThreshold;
        if (isBad) {
            this.open(now);
        }
        return isBad;
    }

    /**
     * Notes a run that stands still.
     * @param now - monotonic milliseconds
     */
    recordStall(now: number): void {
        this.open(now);
    }

    /**
     * Tells how many tasks may be started on the target.
     * @param running - tasks that may be running there
     * @param now - monotonic milliseconds
     * @returns 0 while it is left out, 1 while it is tried, otherwise no bound
     */
    countStartsLeft(running: number, now: number): number {
        if (now < this.openUntil) {
            return 0;
        }
        return this.isTripped ? Math.max(0, 1 - running) : Number.POSITIVE_INFINITY;
    }

    private open(now: number): void {
        if (now >= this.openUntil) {
            this.openUntil = now + this.openMs;
            this.openMs = Math.min(maxOpenMs, this.openMs * 2);
        }
        this.isTripped = true;
    }
}
