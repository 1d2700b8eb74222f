import type { JobStep } from "../jobs/job-step.js";
import type { Job } from "../jobs/job.js";

/** Estimates the duration of one task of a step, milliseconds. */
export type EstimateStep = (job: Job, step: JobStep) => number;
