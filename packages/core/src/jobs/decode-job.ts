import type { EncodedJob } from "./encoded-job.js";
import type { Job } from "./job.js";
import type { StepProgress } from "./step-progress.js";

/**
 * Decodes a job of a snapshot.
 * @param encoded - the output of encodeJob, or a job as earlier versions stored it, with all its occurrences
 * @returns the job
 */
export function decodeJob({ begunCount, occurrences, ...job }: EncodedJob): Job {
    if (begunCount !== undefined) {
        return { ...job, begunCount, occurrences: new Map(occurrences as [number, StepProgress[]][]) };
    }
    const all = occurrences as readonly StepProgress[][];
    const begun = all.findLastIndex(steps => steps.some(({ tasks }) => tasks.some(task => task.run > 0))) + 1;
    const underWay = [...all.slice(0, begun).entries()].filter(([, steps]) => !isDone(steps));
    return { ...job, begunCount: begun, occurrences: new Map(underWay) };
}

function isDone(steps: readonly StepProgress[]): boolean {
    return steps.every(({ doneCount, tasks }) => doneCount === tasks.length);
}
