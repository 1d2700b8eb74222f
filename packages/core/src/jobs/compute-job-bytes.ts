import { computeTextBytes } from "./compute-text-bytes.js";
import type { JobStep } from "./job-step.js";
import type { Job } from "./job.js";

/** Memory of a job without steps: its record and its entries in the maps of the fleet state, bytes. */
const jobBytes = 700;
const stepBytes = 500;
/** Memory of a task whose occurrence has begun: its record and, while it is placed, its entry in the loads, bytes. */
const taskBytes = 250;
const dependencyBytes = 8;

/**
 * Estimates the memory that a job takes in a keeper, in the heap and in a snapshot, from above. A job that has not begun
 * is counted with the tasks of one occurrence, so that an accepted job can start without more memory than it was admitted
 * with.
 * @param job - the job
 * @returns the memory in bytes
 */
export function computeJobBytes({ spec, steps, occurrences }: Pick<Job, "spec" | "steps" | "occurrences">): number {
    const definitionBytes = steps.reduce(
        (sum, step) => sum + computeStepBytes(step),
        jobBytes + computeTextBytes(spec),
    );
    const taskCount = steps.reduce((sum, { count }) => sum + count, 0);
    return definitionBytes + Math.max(1, occurrences.size) * taskCount * taskBytes;
}

function computeStepBytes({ after, requiredLabel, dataRack, image }: JobStep): number {
    const textBytes = [requiredLabel ?? "", dataRack ?? "", image].reduce(
        (sum, text) => sum + computeTextBytes(text),
        0,
    );
    return stepBytes + after.length * dependencyBytes + textBytes;
}
