import type { Job } from "./job.js";
import type { StepProgress } from "./step-progress.js";
import { TaskPhase } from "./task-phase.js";
import type { TaskRecord } from "./task-record.js";

/**
 * Creates the state of an occurrence and of those before it that have not begun. Occurrences begin in order, so that
 * their number tells which of them are done.
 * @param job - the job
 * @param occurrence - number of the occurrence
 */
export function startOccurrences(job: Job, occurrence: number): void {
    while (job.begunCount <= occurrence) {
        job.occurrences.set(job.begunCount, createOccurrence(job));
        job.begunCount += 1;
    }
}

function createOccurrence({ steps }: Job): StepProgress[] {
    return steps.map(step => ({ doneCount: 0, tasks: Array.from({ length: step.count }, createTask) }));
}

function createTask(): TaskRecord {
    return { phase: TaskPhase.Waiting, run: 0, failures: 0, saved: "", target: "" };
}
