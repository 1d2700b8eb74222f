import type { QueueConfiguration } from "../configuration/queue-configuration.js";
import type { Job } from "../jobs/job.js";
import { computeCriticalPath } from "../queueing/compute-critical-path.js";
import { computeDueTime } from "../queueing/compute-due-time.js";
import type { EstimateStep } from "../queueing/estimate-step.js";
import type { RunTimes } from "./run-times.js";

/** When a job runs, and how long its steps take. */
interface JobTiming {
    /** Active configuration of the job's queue; `undefined` if it no longer has the queue. */
    readonly queue: QueueConfiguration | undefined;
    readonly estimate: EstimateStep;
    /** Wall-clock time, milliseconds. */
    readonly now: number;
}

/** Time from a stop until the task has started elsewhere, milliseconds. */
const restartMs = 500;

/**
 * Tells whether a job is on time in spite of the stop of one of its runs, or late in any case. A task that takes longer
 * than estimated is expected to take as long again, and the rest of the job to deviate as much.
 * @param job - the job
 * @param position - occurrence and step of the run
 * @param times - progress of the run, and the work that a stop throws away
 * @param timing - the queue, estimates of durations and the time
 * @returns false when the stop is what makes the job late
 */
export function isStopHarmless(
    job: Job,
    { occurrence, step }: { occurrence: number; step: number },
    { elapsedMs, remainingMs, lostMs }: RunTimes & { lostMs: number },
    { queue, estimate, now }: JobTiming,
): boolean {
    const definition = job.steps[step];
    if (definition === undefined) {
        return false;
    }
    const estimatedMs = estimate(job, definition);
    const deviation = Math.max(1, (elapsedMs + remainingMs) / estimatedMs);
    const laterMs = Math.max(0, computeCriticalPath(job, occurrence, estimate) - estimatedMs) * deviation;
    const budgetMs = (queue?.stretch ?? 1) * deviation * computeCriticalPath(job, undefined, estimate)
        + (queue?.objectiveMs ?? 0);
    const leftMs = computeDueTime(job, occurrence) + budgetMs - now - remainingMs - laterMs;
    return leftMs < 0 || leftMs >= lostMs + restartMs;
}
