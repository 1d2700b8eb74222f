import type { JobStep } from "../jobs/job-step.js";

/** A job of the played load. */
export interface SimulatedJob {
    readonly id: string;
    readonly pool: string;
    readonly atMs: number;
    readonly steps: readonly JobStep[];
    /** How long the tasks of each step really take, milliseconds. */
    readonly durationsMs: readonly number[];
    /** Core-milliseconds of all tasks against the mean of the queue, as callers count it; at most 4. */
    readonly weight: number;
}
