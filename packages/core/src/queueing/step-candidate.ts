import type { QueueConfiguration } from "../configuration/queue-configuration.js";
import type { JobStep } from "../jobs/job-step.js";
import type { Job } from "../jobs/job.js";

/** A step with tasks that may start now. */
export interface StepCandidate {
    readonly job: Job;
    readonly queue: QueueConfiguration | undefined;
    readonly occurrence: number;
    readonly step: number;
    readonly definition: JobStep;
    /** Indexes of the tasks that wait. */
    readonly waiting: readonly number[];
    /** Milliseconds by which the occurrence can be early; negative when it can't be on time any more. */
    readonly slackMs: number;
    /** Milliseconds of work on the longest chain that is left. */
    readonly remainingMs: number;
    /** Work that is left against the work of a usual job of the queue. */
    readonly relativeWork: number;
    /** By how much the client account uses more of the pool than its weight gives it; 1 at twice its share. */
    readonly shareExcess: number;
    /** Steps of the occurrence that are done. */
    readonly stepsDone: number;
}
