import { JobFault } from "./job-fault.js";
import type { JobRequest } from "./job-request.js";
import type { JobStep } from "./job-step.js";

/** Maximum length of a spec in bytes, a limit of the job API. */
const maxSpecBytes = 4_000;
/** Maximum number of tasks of a job over all steps and occurrences; limits the memory of a job to about 1 MB. */
const maxTasks = 20_000;
/** Largest need of a task for one resource; sums over all tasks stay exact. */
const maxNeed = 1e12;
/** Largest time or duration, milliseconds; sums of times stay exact. */
const maxTimeMs = 1e15;

/**
 * Validates a job request, regardless of the current load.
 * @param job - the job request
 * @returns the validation errors; empty when the request is valid
 */
export function validateJob(job: JobRequest): JobFault[] {
    const errors = new Set<JobFault>();
    const taskCount = job.steps.reduce((sum, step) => sum + step.count, 0) * Math.max(1, job.times);
    if (Buffer.byteLength(job.spec) > maxSpecBytes) {
        errors.add(JobFault.SpecTooLong);
    }
    if (job.steps.length === 0) {
        errors.add(JobFault.NoSteps);
    }
    if (taskCount > maxTasks) {
        errors.add(JobFault.TooManyTasks);
    }
    const lastDueMs = job.startAtMs + job.times * job.intervalMs;
    if (
        [job.times, job.startAtMs, job.intervalMs].some(value => !isNonNegativeInteger(value)) || lastDueMs > maxTimeMs
    ) {
        errors.add(JobFault.NumberOutOfRange);
    }
    job.steps.forEach((step, position) => {
        if (step.after.some(dependency => !isNonNegativeInteger(dependency) || dependency >= position)) {
            errors.add(JobFault.InvalidStepOrder);
        }
        if (!isStepValid(step)) {
            errors.add(JobFault.NumberOutOfRange);
        }
    });
    return [...errors];
}

function isNonNegativeInteger(value: number): boolean {
    return Number.isSafeInteger(value) && value >= 0;
}

function isStepValid(step: JobStep): boolean {
    const { cpu, memory, gpu } = step.needs;
    return isNonNegativeInteger(step.count) && step.count > 0
        && [cpu, memory, gpu].every(need => isNonNegativeInteger(need) && need <= maxNeed)
        && [step.maxPerTarget, step.tailBoundMs, step.mayMiss ?? 0].every(isNonNegativeInteger)
        && Number.isFinite(step.estimateMs) && step.estimateMs >= 0 && step.estimateMs <= maxTimeMs;
}
