import type { JobStep } from "../jobs/job-step.js";
import type { Job } from "../jobs/job.js";
import { listWaitingTasks } from "./list-waiting-tasks.js";

/** Number of steps of an occurrence that may start in one round, so that a round does not grow with the size of a job. */
const maxReadySteps = 64;

/** A step of an occurrence with tasks to start. */
interface WaitingStep {
    readonly step: number;
    readonly definition: JobStep;
    /** Indexes of the tasks. */
    readonly waiting: readonly number[];
}

/**
 * Lists the steps of an occurrence that have tasks to start.
 * @param job - the job
 * @param occurrence - index of the occurrence
 * @returns the steps in their order
 */
export function listWaitingSteps(job: Job, occurrence: number): WaitingStep[] {
    const steps: WaitingStep[] = [];
    for (const [step, definition] of job.steps.entries()) {
        const waiting = listWaitingTasks(job, occurrence, step);
        if (waiting.length > 0) {
            steps.push({ step, definition, waiting });
        }
        if (steps.length >= maxReadySteps) {
            break;
        }
    }
    return steps;
}
