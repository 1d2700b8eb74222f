import type { JobStep } from "../jobs/job-step.js";

/** A job of the simulated load. */
export interface SimulatedJob {
    readonly id: string;
    readonly pool: string;
    readonly atMs: number;
    readonly steps: readonly JobStep[];
    /** Actual run time of the tasks of each step, milliseconds. */
    readonly durationsMs: readonly number[];
    /**
     * Value of the job to its client: a constant plus a part proportional to the core-milliseconds of all its tasks,
     * relative to the mean of its queue. At most 4.
     */
    readonly weight: number;
}
