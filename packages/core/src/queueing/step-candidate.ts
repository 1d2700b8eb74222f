import type { QueueConfiguration } from "../configuration/queue-configuration.js";
import type { JobStep } from "../jobs/job-step.js";
import type { Job } from "../jobs/job.js";

/** A step that has tasks ready to start. */
export interface StepCandidate {
    readonly job: Job;
    /** Active configuration of the job's queue; `undefined` if it no longer has the queue. */
    readonly queue: QueueConfiguration | undefined;
    readonly occurrence: number;
    /** Position of the step in the job. */
    readonly step: number;
    readonly definition: JobStep;
    /** Indexes of the tasks that wait to start. */
    readonly waiting: readonly number[];
    /** Time to the deadline of the occurrence minus `remainingMs`; negative when it is estimated to end late. */
    readonly slackMs: number;
    /** Estimated length of the remaining critical path. */
    readonly remainingMs: number;
    /** Remaining work as a multiple of the mean work of a job of the queue. */
    readonly relativeWork: number;
    /** Excess of the client account over its weighted share of the pool: 0 up to the share, 1 at twice the share. */
    readonly shareExcess: number;
    /** Whether steps that cannot finish on time wait for the same pool, which tells that its backlog exceeds the slack. */
    readonly isBacklogLate: boolean;
    /** Number of completed steps of the occurrence. */
    readonly stepsDone: number;
}
