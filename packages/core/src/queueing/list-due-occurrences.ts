import { countOccurrences } from "../jobs/count-occurrences.js";
import type { Job } from "../jobs/job.js";
import { computeDueTime } from "./compute-due-time.js";

/** Number of occurrences of a job that may begin in one round, so that a round does not grow with those that are overdue. */
const maxNewOccurrences = 16;

/**
 * Lists the occurrences of a job that have begun and are not done, and the next ones that are due.
 * @param job - the job
 * @param now - wall-clock time, milliseconds
 * @param isMemoryFull - whether jobs under way may not begin further occurrences, which take memory
 * @returns indexes of the occurrences
 */
export function listDueOccurrences(job: Job, now: number, isMemoryFull: boolean): readonly number[] {
    const occurrences = [...job.occurrences.keys()];
    // The memory of one occurrence was counted when the job was accepted.
    const maxNew = isMemoryFull ? Math.max(0, 1 - occurrences.length) : maxNewOccurrences;
    const end = Math.min(countOccurrences(job), job.begunCount + maxNew);
    for (let occurrence = job.begunCount; occurrence < end; occurrence++) {
        if (job.times > 0 && now < computeDueTime(job, occurrence)) {
            break;
        }
        occurrences.push(occurrence);
    }
    return occurrences;
}
