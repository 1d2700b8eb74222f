/** Age after which an observation is dropped, milliseconds. */
const observationWindowMs = 4_000;
/** Minimum number of jobs for a decision, because the estimate of a single job may be far off. */
const minJobs = 4;
/** Slowdown of the tasks from which the target counts as slow. */
const slowdownThreshold = 2.5;
/** Share of the jobs whose slowdown may be below that threshold. */
const slowdownQuantile = 0.3;
/** Minimum progress from which the total run time is projected, percent. */
const minProjectionPercent = 5;
const completePercent = 100;

interface Observation {
    readonly at: number;
    /** Projected run time divided by the expected one, for the task of the job whose progress was recorded last. */
    readonly slowdown: number;
}

/** Progress of a task as its target reports it. */
interface TaskProgress {
    readonly job: string;
    readonly expectedMs: number;
    readonly elapsedMs: number;
    /** 0 to 100. */
    readonly percent: number;
}

/**
 * Detects a slow target by comparing the run times of its tasks with the expected ones, as a target may become slow
 * while it still responds to every call. The tasks of most jobs must be slow, because those of a single job may only
 * have an inaccurate estimate.
 */
export class SlowTargetDetector {
    private readonly observations = new Map<string, Observation>();

    /**
     * Records the progress of a task, its completion included.
     * @param progress - the progress
     * @param now - monotonic milliseconds
     */
    recordProgress(progress: TaskProgress, now: number): void {
        const slowdown = computeSlowdown(progress);
        if (slowdown !== undefined) {
            this.observations.set(progress.job, { at: now, slowdown });
        }
    }

    /**
     * Tells whether the target is slow.
     * @param now - monotonic milliseconds
     * @returns true when the tasks of most jobs take much longer than expected; false while there are too few jobs
     */
    isSlow(now: number): boolean {
        let fastJobs = 0;
        for (const [job, { at, slowdown }] of this.observations) {
            if (now - at > observationWindowMs) {
                this.observations.delete(job);
            }
            else if (slowdown < slowdownThreshold) {
                fastJobs += 1;
            }
        }
        const jobs = this.observations.size;
        return jobs >= minJobs && fastJobs <= Math.floor(jobs * slowdownQuantile);
    }
}

/**
 * Computes the ratio of the projected to the expected run time of a task. Below the minimum progress, the elapsed time
 * is only a lower bound of the run time, so the result is `undefined` until it exceeds the expected time.
 */
function computeSlowdown({ expectedMs, elapsedMs, percent }: TaskProgress): number | undefined {
    const expected = Math.max(1, expectedMs);
    if (percent >= minProjectionPercent) {
        return elapsedMs * completePercent / percent / expected;
    }
    return elapsedMs > expected ? elapsedMs / expected : undefined;
}
