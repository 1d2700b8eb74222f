import type { JobStep } from "../jobs/job-step.js";

/** A job of the simulated load. */
export interface SimulatedJob {
    readonly id: string;
    readonly pool: string;
    readonly atMs: number;
    readonly steps: readonly JobStep[];
    /** Actual run time of the tasks of each step, milliseconds. */
    readonly durationsMs: readonly number[];
    /** Value to its client: core-milliseconds of all tasks relative to the queue's mean, plus a base; at most 4. */
    readonly weight: number;
}
