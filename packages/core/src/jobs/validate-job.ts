import { JobFault } from "./job-fault.js";
import type { JobRequest } from "./job-request.js";
import type { JobStep } from "./job-step.js";

/** Longest spec, bytes; a bound of the job interface. */
const maxSpecBytes = 4_000;
/** Most tasks of one job over all steps and occurrences; bounds the memory of one job to about a megabyte. */
const maxTasks = 20_000;

/**
 * Finds what makes a job impossible to accept.
 * @param job - the job
 * @returns the faults; empty when it is sound
 */
export function validateJob(job: JobRequest): JobFault[] {
    const faults = new Set<JobFault>();
    const tasks = job.steps.reduce((sum, step) => sum + step.count, 0) * Math.max(1, job.times);
    if (Buffer.byteLength(job.spec) > maxSpecBytes) {
        faults.add(JobFault.SpecTooLong);
    }
    if (job.steps.length === 0) {
        faults.add(JobFault.NoSteps);
    }
    if (tasks > maxTasks) {
        faults.add(JobFault.TooManyTasks);
    }
    if ([job.times, job.startAtMs, job.intervalMs].some(value => !isNonNegativeInteger(value))) {
        faults.add(JobFault.NumberOutOfRange);
    }
    job.steps.forEach((step, position) => {
        if (step.after.some(earlier => !isNonNegativeInteger(earlier) || earlier >= position)) {
            faults.add(JobFault.InvalidStepOrder);
        }
        if (!isStepValid(step)) {
            faults.add(JobFault.NumberOutOfRange);
        }
    });
    return [...faults];
}

function isNonNegativeInteger(value: number): boolean {
    return Number.isSafeInteger(value) && value >= 0;
}

function isStepValid(step: JobStep): boolean {
    const { cpu, memory, gpu } = step.needs;
    return isNonNegativeInteger(step.count) && step.count > 0
        && [cpu, memory, gpu, step.maxPerTarget].every(isNonNegativeInteger)
        && Number.isFinite(step.estimateMs) && step.estimateMs >= 0;
}
