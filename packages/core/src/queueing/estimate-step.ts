import type { JobStep } from "../jobs/job-step.js";
import type { Job } from "../jobs/job.js";

/** Guesses how long one task of a step takes, milliseconds. */
export type EstimateStep = (job: Job, step: JobStep) => number;
