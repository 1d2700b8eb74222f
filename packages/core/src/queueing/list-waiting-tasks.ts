import { isStepReady } from "../jobs/is-step-ready.js";
import type { Job } from "../jobs/job.js";
import { TaskPhase } from "../jobs/task-phase.js";

/**
 * Lists the tasks of a step that may start now.
 * @param job - the job
 * @param occurrence - index of the occurrence
 * @param step - position of the step
 * @returns indexes of the tasks
 */
export function listWaitingTasks(job: Job, occurrence: number, step: number): number[] {
    const waiting: number[] = [];
    const progress = job.occurrences.get(occurrence)?.[step];
    if (progress === undefined) {
        const { after, count } = job.steps[step] ?? { after: [], count: 0 };
        for (let index = 0; after.length === 0 && index < count; index++) {
            waiting.push(index);
        }
        return waiting;
    }
    if (progress.doneCount === progress.tasks.length) {
        return waiting;
    }
    // Called for each step of each active job in every round; most tasks are running.
    for (let index = 0; index < progress.tasks.length; index++) {
        if (progress.tasks[index]?.phase === TaskPhase.Waiting) {
            waiting.push(index);
        }
    }
    return waiting.length > 0 && !isStepReady(job, occurrence, step) ? [] : waiting;
}
