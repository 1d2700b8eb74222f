import type { Job } from "../jobs/job.js";
import type { EstimateStep } from "./estimate-step.js";

/** Estimates about jobs before they have run. */
export interface WorkEstimator {
    /** Estimates the duration of one task of a step. */
    readonly computeStepMs: EstimateStep;
    /** Reads the mean work of a job of the same queue, thousandths of a core times milliseconds. */
    readonly readMeanJobWork: (job: Job) => number;
}
