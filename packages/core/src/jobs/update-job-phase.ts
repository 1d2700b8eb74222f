import { isJobFinished } from "./is-job-finished.js";
import { JobPhase } from "./job-phase.js";
import type { Job } from "./job.js";
import { TaskPhase } from "./task-phase.js";

/**
 * Ends a job if one of its tasks has failed for good or all are done.
 * @param job - the job
 * @param atMs - wall clock of the leader, milliseconds
 */
export function updateJobPhase(job: Job, atMs: number): void {
    if (isJobFinished(job)) {
        return;
    }
    const steps = job.occurrences.flat();
    if (steps.some(step => step.tasks.some(task => task.phase === TaskPhase.Failed))) {
        job.phase = JobPhase.Failed;
        job.endedAtMs = atMs;
    }
    else if (steps.every(step => step.doneCount === step.tasks.length)) {
        job.phase = JobPhase.Completed;
        job.endedAtMs = atMs;
    }
}
