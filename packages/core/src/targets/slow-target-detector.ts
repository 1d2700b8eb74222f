/** Time for which an observation counts, milliseconds. */
const observationWindowMs = 4_000;
/** Least jobs whose tasks must agree; guesses about single jobs are far off. */
const minJobs = 4;
/** How many times as long as expected tasks must take for the target to count as slow. */
const slowdownThreshold = 2.5;
/** Share of the jobs that may be below that. */
const slowdownQuantile = 0.3;
/** Least progress from which the whole time is projected, percent. */
const minProjectionPercent = 5;
const wholePercent = 100;

interface Observation {
    readonly at: number;
    /** Time that the newest task of the job takes against what was expected. */
    readonly slowdown: number;
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
export class SlowTargetDetector {
    private readonly observations = new Map<string, Observation>();

    /**
     * Notes how far a task has come, or that it is done.
     * @param progress - the task
     * @param now - monotonic milliseconds
     */
    recordProgress(progress: TaskProgress, now: number): void {
        const factor = computeSlowdown(progress);
        if (factor !== undefined) {
            this.observations.set(progress.job, { at: now, slowdown: factor });
        }
    }

    /**
     * Tells whether the target is slow.
     * @param now - monotonic milliseconds
     * @returns true when the tasks of several jobs take several times as long as expected
     */
    isSlow(now: number): boolean {
        for (const [job, { at }] of this.observations) {
            if (now - at > observationWindowMs) {
                this.observations.delete(job);
            }
        }
        const factors = [...this.observations.values()].map(({ slowdown: factor }) => factor).sort((a, b) => a - b);
        const factor = factors[Math.floor(factors.length * slowdownQuantile)] ?? 0;
        return factors.length >= minJobs && factor >= slowdownThreshold;
    }
}

/**
 * Projects the whole time of a task from its progress; while there is too little of it, the time so far is a lower bound,
 * which says nothing before it exceeds what was expected.
 */
function computeSlowdown({ expectedMs, elapsedMs, percent }: TaskProgress): number | undefined {
    const expected = Math.max(1, expectedMs);
    if (percent >= minProjectionPercent) {
        return elapsedMs * wholePercent / percent / expected;
    }
    return elapsedMs > expected ? elapsedMs / expected : undefined;
}
