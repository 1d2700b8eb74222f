/** Time for which an observation counts, milliseconds. */
const spanMs = 4_000;
/** Least jobs whose tasks must agree; guesses about single jobs are far off. */
const minJobs = 4;
/** How many times as long as expected tasks must take for the target to count as slow. */
const slowFactor = 2.5;
/** Share of the jobs that may be below that. */
const quickShare = 0.3;
/** Least progress from which the whole time is projected, percent. */
const minPercent = 5;
const wholePercent = 100;

interface Observation {
    readonly at: number;
    /** Time that the newest task of the job takes against what was expected. */
    readonly factor: number;
}

/** A task as the target reports it. */
interface TaskProgress {
    readonly job: string;
    readonly expectedMs: number;
    readonly elapsedMs: number;
    /** 0 to 100. */
    readonly percent: number;
}

/**
 * Judges how fast a target works by how long its tasks take against what was expected. Answers targets that turn slow
 * while they answer every call: that most of several jobs agree tells them from jobs whose guess is off.
 */
export class TargetSpeed {
    private readonly seen = new Map<string, Observation>();

    /**
     * Notes how far a task has come, or that it is done.
     * @param progress - the task
     * @param now - monotonic milliseconds
     */
    noteProgress(progress: TaskProgress, now: number): void {
        const factor = computeFactor(progress);
        if (factor !== undefined) {
            this.seen.set(progress.job, { at: now, factor });
        }
    }

    /**
     * Tells whether the target is slow.
     * @param now - monotonic milliseconds
     * @returns true when the tasks of several jobs take several times as long as expected
     */
    isSlow(now: number): boolean {
        for (const [job, { at }] of this.seen) {
            if (now - at > spanMs) {
                this.seen.delete(job);
            }
        }
        const factors = [...this.seen.values()].map(({ factor }) => factor).sort((a, b) => a - b);
        const factor = factors[Math.floor(factors.length * quickShare)] ?? 0;
        return factors.length >= minJobs && factor >= slowFactor;
    }
}

/**
 * Projects the whole time of a task from its progress; while there is too little of it, the time so far is a lower bound,
 * which says nothing before it exceeds what was expected.
 */
function computeFactor({ expectedMs, elapsedMs, percent }: TaskProgress): number | undefined {
    const expected = Math.max(1, expectedMs);
    if (percent >= minPercent) {
        return elapsedMs * wholePercent / percent / expected;
    }
    return elapsedMs > expected ? elapsedMs / expected : undefined;
}
