import type { JobStep } from "../jobs/job-step.js";
import type { Job } from "../jobs/job.js";

/** Estimates the duration of a step, that is of the slowest of its parallel tasks, milliseconds. */
export type EstimateStep = (job: Job, step: JobStep) => number;
