import type { JobStep } from "../jobs/job-step.js";

/** A job of the played load. */
export interface PlayedJob {
    readonly id: string;
    readonly pool: string;
    readonly atMs: number;
    readonly steps: readonly JobStep[];
    /** How long the tasks of each step really take, milliseconds. */
    readonly takesMs: readonly number[];
    /** Core-milliseconds of all tasks against the mean of the queue, as callers count it; at most 4. */
    readonly worth: number;
}
