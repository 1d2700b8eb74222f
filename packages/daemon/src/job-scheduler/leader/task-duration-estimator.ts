import type { JobStep } from "@daisylock/core/jobs/job-step.js";
import type { Job } from "@daisylock/core/jobs/job.js";
import { RunningMoments } from "@daisylock/core/queueing/running-moments.js";
import type { WorkEstimator } from "@daisylock/core/queueing/work-estimator.js";

/** Number of measured runs below which an estimate is not corrected. */
const minHistoryRuns = 5;
/** Number of measured runs below which no target is judged by an estimate; the first runs to end are the short ones. */
const calibratedRuns = 20;
/** Limit to which the deviation of a duration from the mean is clamped, as a logarithm: a factor of two. */
const maxLogDeviation = Math.LN2;
/** Lower bound on the estimate of a task, milliseconds; an estimate of 0 would make every job late at once. */
const minTaskMs = 50;
/** Ratio of the longest of several parallel tasks to the expected duration of one. */
const stragglerFactor = 1.25;

/** Measured durations of the tasks of one queue and image, as logarithms. */
interface TaskHistory {
    readonly durations: RunningMoments;
    /** Duration relative to the caller's estimate. */
    readonly estimateErrors: RunningMoments;
}

/**
 * Corrects callers' estimates by the measured durations of tasks of the same queue and image. Estimate and history are
 * weighted inversely to their variances: the posterior mean of two log-normal sources.
 */
export class TaskDurationEstimator implements WorkEstimator {
    private readonly histories = new Map<string, TaskHistory>();
    private readonly workByQueue = new Map<string, RunningMoments>();

    /**
     * Records the duration of a run that ended as done.
     * @param job - its job
     * @param step - its step
     * @param durationMs - time from the start request to the end, milliseconds
     */
    noteRun(job: Job, step: JobStep, durationMs: number): void {
        const key = buildKey(job, step);
        const history = this.histories.get(key)
            ?? { durations: new RunningMoments(), estimateErrors: new RunningMoments() };
        const duration = Math.log(Math.max(1, durationMs));
        addClamped(history.durations, duration);
        addClamped(history.estimateErrors, duration - Math.log(Math.max(minTaskMs, step.estimateMs)));
        this.histories.set(key, history);
    }

    /**
     * Records the estimated work of an accepted job.
     * @param job - the job
     */
    noteJob(job: Job): void {
        const moments = this.workByQueue.get(job.queue) ?? new RunningMoments();
        moments.add(job.steps.reduce((sum, step) => sum + this.computeWork(job, step), 0));
        this.workByQueue.set(job.queue, moments);
    }

    /**
     * Tells whether enough runs were measured to judge targets by the estimate of a step.
     * @param job - the job
     * @param step - its step
     * @returns false while too few runs have been measured
     */
    isCalibrated(job: Job, step: JobStep): boolean {
        return (this.histories.get(buildKey(job, step))?.durations.count() ?? 0) >= calibratedRuns;
    }

    readonly computeStepMs = (job: Job, step: JobStep): number => {
        const expectedMs = this.computeTaskMs(job, step);
        return step.count > 1 ? expectedMs * stragglerFactor : expectedMs;
    };

    readonly readMeanJobWork = (job: Job): number => {
        const mean = this.workByQueue.get(job.queue)?.readMean() ?? 0;
        return mean > 0 ? mean : Math.max(1, job.steps.reduce((sum, step) => sum + this.computeWork(job, step), 0));
    };

    /**
     * Estimates how long a single task of a step takes.
     * @param job - the job
     * @param step - its step
     * @returns milliseconds
     */
    computeTaskMs(job: Job, step: JobStep): number {
        const history = this.histories.get(buildKey(job, step));
        const estimate = Math.log(Math.max(minTaskMs, step.estimateMs));
        if (history === undefined || history.durations.count() < minHistoryRuns) {
            return Math.exp(estimate);
        }
        const { durations, estimateErrors } = history;
        const durationVariance = durations.readVariance();
        const errorVariance = estimateErrors.readVariance();
        const historyWeight = durationVariance + errorVariance === 0
            ? 1
            : errorVariance / (durationVariance + errorVariance);
        const correctedEstimate = estimate + estimateErrors.readMean();
        return Math.exp(historyWeight * durations.readMean() + (1 - historyWeight) * correctedEstimate);
    }

    /** Estimates the work of a step, millicores times milliseconds; 0 for a long-running step, which has no end. */
    private computeWork(job: Job, step: JobStep): number {
        return step.isLongRunning ? 0 : step.count * step.needs.cpu * this.computeStepMs(job, step);
    }
}

/** Adds a value with a bounded deviation from the mean, so that slow targets do not shift the expected duration. */
function addClamped(moments: RunningMoments, value: number): void {
    const mean = moments.readMean();
    const bounded = Math.min(mean + maxLogDeviation, Math.max(mean - maxLogDeviation, value));
    moments.add(moments.count() < minHistoryRuns ? value : bounded);
}

function buildKey(job: Job, step: JobStep): string {
    return `${job.queue}|${step.image}`;
}
