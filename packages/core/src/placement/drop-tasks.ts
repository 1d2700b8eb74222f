import { encodeTaskKey } from "../jobs/encode-task-key.js";
import type { StepCandidate } from "../queueing/step-candidate.js";

/**
 * Leaves tasks out of the steps that may start.
 * @param candidates - the steps
 * @param jobs - ids of the jobs with tasks to leave out; keys of others are not built, as a backlog has thousands of tasks
 * @param tasks - encoded keys of the tasks to leave out
 * @returns the steps with the other tasks that wait; those without any are left out
 */
export function dropTasks(
    candidates: readonly StepCandidate[],
    jobs: { has: (job: string) => boolean },
    tasks: { has: (task: string) => boolean },
): StepCandidate[] {
    return candidates.flatMap(candidate => {
        const { job, occurrence, step } = candidate;
        if (!jobs.has(job.id)) {
            return [candidate];
        }
        const waiting = candidate.waiting.filter(index =>
            !tasks.has(encodeTaskKey({ job: job.id, occurrence, step, index }))
        );
        return waiting.length === 0 ? [] : [{ ...candidate, waiting }];
    });
}
