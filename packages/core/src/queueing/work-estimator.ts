import type { Job } from "../jobs/job.js";
import type { EstimateStep } from "./estimate-step.js";

/** Estimates the durations of steps and the work of jobs. */
export interface WorkEstimator {
    /** Estimates the duration of a step, milliseconds. */
    readonly computeStepMs: EstimateStep;
    /** Reads the mean estimated work of the jobs of the same queue, thousandths of a core times milliseconds. */
    readonly readMeanJobWork: (job: Job) => number;
}
