import type { StepCandidate } from "../queueing/step-candidate.js";

/**
 * Tells whether a task of a step may have crashed its target.
 * @param candidate - the step
 * @param index - index of the task
 * @returns true while the task has to pass its probation apart from others
 */
export function isSuspect({ job, occurrence, step }: StepCandidate, index: number): boolean {
    return job.occurrences.get(occurrence)?.[step]?.tasks[index]?.crashes?.isSuspect === true;
}
