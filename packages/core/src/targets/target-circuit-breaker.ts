/** Number of jobs that must fail, without a success between, to open the circuit; a single job may itself be faulty. */
const failedJobThreshold = 3;
/** Time for which the circuit first stays open, milliseconds; doubled each time it opens again, up to the maximum. */
const initialOpenMs = 2_000;
const maxOpenMs = 8_000;

/**
 * Circuit breaker of one target. Opens when runs of several jobs fail on it, because a target that fails every run
 * would otherwise attract more and more work, or when a run stalls. An open circuit ejects the
 * target for a time; then the circuit is half-open, and the target gets one task at a time until a run succeeds there.
 */
export class TargetCircuitBreaker {
    private readonly failedJobs = new Set<string>();
    private openMs = initialOpenMs;
    private openUntil = 0;
    private isTripped = false;

    /** Records a run that succeeded, which closes the circuit. */
    recordSuccess(): void {
        this.failedJobs.clear();
        this.openMs = initialOpenMs;
        this.openUntil = 0;
        this.isTripped = false;
    }

    /**
     * Records a run that failed.
     * @param job - id of its job
     * @param now - monotonic milliseconds
     * @returns whether the circuit is open after the failure
     */
    recordFailure(job: string, now: number): boolean {
        this.failedJobs.add(job);
        const isTripping = this.isTripped || this.failedJobs.size >= failedJobThreshold;
        if (isTripping) {
            this.open(now);
        }
        return isTripping;
    }

    /**
     * Records a stalled run, which opens the circuit.
     * @param now - monotonic milliseconds
     */
    recordStall(now: number): void {
        this.open(now);
    }

    /**
     * Tells whether the target is ejected, or tried again with one task at a time.
     * @returns false while the circuit is closed
     */
    isEjected(): boolean {
        return this.isTripped;
    }

    /**
     * Tells how many tasks may be started on the target.
     * @param running - number of tasks that may be running there and end by themselves
     * @param now - monotonic milliseconds
     * @returns 0 while the circuit is open, at most 1 while it is half-open, infinity while it is closed
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
