import type { JobStep } from "@daisylock/core/jobs/job-step.js";
import type { Job } from "@daisylock/core/jobs/job.js";
import { RunningMoments } from "@daisylock/core/queueing/running-moments.js";
import type { WorkEstimator } from "@daisylock/core/queueing/work-estimator.js";

/** Runs after which what was seen is used. */
const minHistoryRuns = 5;
/** Runs after which targets are judged by what was seen: the first that end are the short ones. */
const calibratedRuns = 20;
/** Most by which a run counts as longer or shorter than usual, as a logarithm: a factor of two. */
const maxLogDeviation = Math.LN2;
/** Least time that a task counts for; guesses of nothing would make every job late at once. */
const minTaskMs = 50;
/** By how much the longest of several parallel tasks exceeds the usual one. */
const stragglerFactor = 1.25;

/** What was seen of the tasks of one queue and image; times by their logarithm. */
interface TaskHistory {
    readonly durations: RunningMoments;
    /** Duration against the caller's guess. */
    readonly estimateErrors: RunningMoments;
}

/**
 * Corrects callers' guesses by how long tasks of the same queue and image took. Guess and history are weighed by how far
 * each has been off: the posterior mean of two log-normal sources.
 */
export class TaskDurationEstimator implements WorkEstimator {
    private readonly histories = new Map<string, TaskHistory>();
    private readonly workByQueue = new Map<string, RunningMoments>();

    /**
     * Notes how long a run took that ended as done.
     * @param job - its job
     * @param step - its step
     * @param durationMs - from the order to the end, milliseconds
     */
    noteRun(job: Job, step: JobStep, durationMs: number): void {
        const key = buildKey(job, step);
        const seen = this.histories.get(key)
            ?? { durations: new RunningMoments(), estimateErrors: new RunningMoments() };
        const duration = Math.log(Math.max(1, durationMs));
        addClamped(seen.durations, duration);
        addClamped(seen.estimateErrors, duration - Math.log(Math.max(minTaskMs, step.estimateMs)));
        this.histories.set(key, seen);
    }

    /**
     * Notes a job that was accepted.
     * @param job - the job
     */
    noteJob(job: Job): void {
        const moments = this.workByQueue.get(job.queue) ?? new RunningMoments();
        moments.add(job.steps.reduce((sum, step) => sum + this.computeWork(job, step), 0));
        this.workByQueue.set(job.queue, moments);
    }

    /**
     * Tells whether enough runs were seen to correct a step's guess.
     * @param job - the job
     * @param step - its step
     * @returns false while the caller's guess is all there is
     */
    isCalibrated(job: Job, step: JobStep): boolean {
        return (this.histories.get(buildKey(job, step))?.durations.count() ?? 0) >= calibratedRuns;
    }

    readonly computeStepMs = (job: Job, step: JobStep): number => {
        const usual = this.computeTaskMs(job, step);
        return step.count > 1 ? usual * stragglerFactor : usual;
    };

    readonly readMeanJobWork = (job: Job): number => {
        const mean = this.workByQueue.get(job.queue)?.readMean() ?? 0;
        return mean > 0 ? mean : Math.max(1, job.steps.reduce((sum, step) => sum + this.computeWork(job, step), 0));
    };

    /**
     * Computes how long one task of a step takes, alone.
     * @param job - the job
     * @param step - its step
     * @returns milliseconds
     */
    computeTaskMs(job: Job, step: JobStep): number {
        const seen = this.histories.get(buildKey(job, step));
        const guess = Math.log(Math.max(minTaskMs, step.estimateMs));
        if (seen === undefined || seen.durations.count() < minHistoryRuns) {
            return Math.exp(guess);
        }
        const { durations, estimateErrors: errors } = seen;
        const spread = durations.readVariance();
        const error = errors.readVariance();
        const historyShare = spread + error === 0 ? 1 : error / (spread + error);
        const corrected = guess + errors.readMean();
        return Math.exp(historyShare * durations.readMean() + (1 - historyShare) * corrected);
    }

    private computeWork(job: Job, step: JobStep): number {
        return step.isLongRunning ? 0 : step.count * step.needs.cpu * this.computeStepMs(job, step);
    }
}

/** Bounds what one run can change, so that targets that have turned slow don't become what is expected of all. */
function addClamped(moments: RunningMoments, value: number): void {
    const mean = moments.readMean();
    const bounded = Math.min(mean + maxLogDeviation, Math.max(mean - maxLogDeviation, value));
    moments.add(moments.count() < minHistoryRuns ? value : bounded);
}

function buildKey(job: Job, step: JobStep): string {
    return `${job.queue}|${step.image}`;
}
