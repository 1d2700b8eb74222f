import type { Job } from "../jobs/job.js";
import type { EstimateStep } from "./estimate-step.js";

/** What is guessed about jobs before they have run. */
export interface WorkEstimator {
    /** Guesses how long one task of a step takes. */
    readonly computeStepMs: EstimateStep;
    /** Tells the work of a usual job of the same queue, thousandths of a core times milliseconds. */
    readonly readMeanJobWork: (job: Job) => number;
}
