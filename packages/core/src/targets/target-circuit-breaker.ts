/** Number of jobs that must fail, without a success between, to open the circuit; a single job may itself be faulty. */
const failedJobThreshold = 3;
/** Time for which the circuit first stays open, milliseconds; doubled each time it opens again, up to the maximum. */
const initialOpenMs = 2_000;
const maxOpenMs = 8_000;
/** Time after which a half-open circuit admits twice as many tasks, milliseconds, as a healthy run may take long. */
const trialStepMs = 3_000;
/** Number of these steps after which the circuit closes. */
const trialSteps = 3;

/**
 * Circuit breaker of one target. Opens when runs of several jobs fail on it, because a target that fails every run
 * would otherwise attract more and more work, or when a run stalls. An open circuit ejects the
 * target for a time; then the circuit is half-open, and the target gets one task at a time until a run succeeds there. The
 * number of tasks doubles with the time without a further failure, as in Envoy's slow start, so that a single long run
 * does not keep the target from all others.
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
        const isTripping = this.isEjected(now) || this.failedJobs.size >= failedJobThreshold;
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
     * Tells whether the target is ejected, or tried again with few tasks at a time.
     * @param now - monotonic milliseconds
     * @returns false while the circuit is closed
     */
    isEjected(now: number): boolean {
        return this.isTripped && now < this.openUntil + trialSteps * trialStepMs;
    }

    /**
     * Tells how many tasks may be started on the target.
     * @param running - number of tasks that may be running there and end by themselves
     * @param now - monotonic milliseconds
     * @returns 0 while the circuit is open, at most 1 when it becomes half-open and more as time passes, infinity while it
     *     is closed
     */
    countStartsLeft(running: number, now: number): number {
        if (now < this.openUntil) {
            return 0;
        }
        if (!this.isEjected(now)) {
            return Number.POSITIVE_INFINITY;
        }
        const admitted = 2 ** Math.floor((now - this.openUntil) / trialStepMs);
        return Math.max(0, admitted - running);
    }

    private open(now: number): void {
        if (now >= this.openUntil) {
            this.openUntil = now + this.openMs;
            this.openMs = Math.min(maxOpenMs, this.openMs * 2);
        }
        this.isTripped = true;
    }
}
