import { countOccurrences } from "./count-occurrences.js";
import type { EncodedJob } from "./encoded-job.js";
import { isJobFinished } from "./is-job-finished.js";
import type { Job } from "./job.js";
import { startOccurrences } from "./start-occurrences.js";
import type { StepProgress } from "./step-progress.js";
import { TaskPhase } from "./task-phase.js";

/** Largest number of tasks of a job that is stored with all its occurrences, the only form that earlier versions read. */
const maxFullTasks = 512;

/**
 * Encodes a job for a snapshot.
 * @param job - the job
 * @returns plain data for decodeJob
 */
export function encodeJob(job: Job): EncodedJob {
    const taskCount = countOccurrences(job) * job.steps.reduce((sum, step) => sum + step.count, 0);
    if (isJobFinished(job) && job.steps.length === 0) {
        return { ...job, begunCount: undefined, occurrences: [] };
    }
    return taskCount <= maxFullTasks
        ? { ...job, begunCount: undefined, occurrences: listAllOccurrences(job) }
        : { ...job, occurrences: [...job.occurrences] };
}

function listAllOccurrences(job: Job): StepProgress[][] {
    if (job.occurrences.size === countOccurrences(job)) {
        return [...job.occurrences.values()];
    }
    const full: Job = { ...job, begunCount: 0, occurrences: new Map() };
    startOccurrences(full, countOccurrences(job) - 1);
    return [...full.occurrences].map(([occurrence, steps]) =>
        job.occurrences.get(occurrence) ?? (occurrence < job.begunCount ? steps.map(buildDoneStep) : steps)
    );
}

function buildDoneStep({ tasks }: StepProgress): StepProgress {
    return {
        doneCount: tasks.length,
        tasks: tasks.map(task => ({ ...task, phase: TaskPhase.Done, run: 1 })),
    };
}
