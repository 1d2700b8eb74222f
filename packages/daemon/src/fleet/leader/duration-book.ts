import type { JobStep } from "@daisylock/core/jobs/job-step.js";
import type { Job } from "@daisylock/core/jobs/job.js";

/** Weight of one more run against those before it. */
const newestShare = 0.1;
/** Runs after which what was seen counts as much as the caller's guess. */
const minRuns = 3;
/** Least time that a task counts for; guesses of nothing would make every job late at once. */
const minTaskMs = 50;

interface SeenDuration {
    logMs: number;
    runs: number;
}

/** Corrects callers' guesses by how long tasks of the same queue and image took. */
export class DurationBook {
    private readonly seen = new Map<string, SeenDuration>();

    /**
     * Notes how long a run took that ended as done.
     * @param job - its job
     * @param step - its step
     * @param durationMs - from the order to the end, milliseconds
     */
    noteRun(job: Job, step: JobStep, durationMs: number): void {
        const key = buildKey(job, step);
        const known = this.seen.get(key) ?? { logMs: Math.log(durationMs), runs: 0 };
        const share = Math.max(newestShare, 1 / (known.runs + 1));
        known.logMs += (Math.log(Math.max(1, durationMs)) - known.logMs) * share;
        known.runs += 1;
        this.seen.set(key, known);
    }

    /**
     * Guesses how long one task of a step takes: the geometric mean of the caller's guess and of what was seen, as either
     * is off by a factor.
     * @param job - the job
     * @param step - the step
     * @returns milliseconds
     */
    readonly estimate = (job: Job, step: JobStep): number => {
        const known = this.seen.get(buildKey(job, step));
        const guess = Math.max(minTaskMs, step.estimateMs);
        return known === undefined || known.runs < minRuns ? guess : Math.sqrt(guess * Math.exp(known.logMs));
    };
}

function buildKey(job: Job, step: JobStep): string {
    return `${job.queue}|${step.image}`;
}
