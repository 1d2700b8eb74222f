import type { JobStep } from "../jobs/job-step.js";
import { buildTestStep } from "./build-test-step.js";
import { createRandom } from "./create-random.js";
import type { SimulatedJob } from "./simulated-job.js";
import type { SimulatedQueue } from "./simulated-queue.js";

/** Demand of a queue outside its burst, as a fraction of its mean demand. */
const baselineFraction = 0.05;
/** Part of a job's weight that does not depend on its work. */
const baseWeight = 0.3;
const maxWeight = 4;
/** Largest number of tasks of a step, and largest request of a task, as multiples of the mean. */
const maxCountFactor = 4;
const maxCpuFactor = 3;

/**
 * Builds a load with rotating bursts: the demand of one queue rises to several times its mean and falls again, then
 * that of the next queue.
 * @param queues - the queues, in the order of their bursts
 * @param burstMs - duration of one burst, milliseconds
 * @param lengthMs - duration of the load, milliseconds
 * @param seed - seed of the random numbers
 * @param stepMs - interval in which each queue submits at most one job, milliseconds
 * @returns the jobs, in the order of their submission
 */
export function buildRotatingBursts(
    queues: readonly SimulatedQueue[],
    burstMs: number,
    lengthMs: number,
    seed: number,
    stepMs = 10,
): SimulatedJob[] {
    const random = createRandom(seed);
    const jobs: SimulatedJob[] = [];
    for (let now = 0; now < lengthMs; now += stepMs) {
        queues.forEach((queue, position) => {
            const rate = queue.jobsPerSecond * computeDemandFactor(now, position, queues.length, burstMs) * stepMs
                / 1_000;
            if (random() < rate) {
                jobs.push(buildJob(queue, `${jobs.length}`, now, random));
            }
        });
    }
    return jobs;
}

/**
 * Computes a queue's demand relative to its mean. It follows a squared half sine during the queue's own burst; the mean
 * over a rotation of all queues is 1.
 */
function computeDemandFactor(now: number, position: number, queueCount: number, burstMs: number): number {
    const phase = now / burstMs % queueCount - position;
    const peak = (1 - baselineFraction) * queueCount * 2;
    return baselineFraction + (phase >= 0 && phase < 1 ? peak * Math.sin(Math.PI * phase) ** 2 : 0);
}

function buildJob(queue: SimulatedQueue, id: string, atMs: number, random: () => number): SimulatedJob {
    const stepCount = Math.max(1, Math.round(queue.meanSteps + (random() - 0.5) * 2));
    const steps: JobStep[] = [];
    const durationsMs: number[] = [];
    let work = 0;
    for (let step = 0; step < stepCount; step++) {
        const count = Math.max(1, Math.round(queue.meanTasks * Math.min(maxCountFactor, createLogNormal(random, 0.6))));
        const cpu = Math.round(queue.meanCpu * Math.min(maxCpuFactor, createLogNormal(random, 0.45)));
        const taskMs = queue.meanTaskMs * createLogNormal(random, 0.5);
        durationsMs.push(taskMs);
        work += count * cpu * taskMs;
        steps.push(buildTestStep({
            count,
            needs: { cpu, memory: 100, gpu: 0 },
            estimateMs: Math.round(taskMs * createLogNormal(random, 0.5)),
            after: step === 0 ? [] : [step - 1],
        }));
    }
    const meanWork = queue.meanSteps * queue.meanTasks * queue.meanTaskMs * queue.meanCpu;
    const weight = Math.min(maxWeight, baseWeight + (1 - baseWeight) * work / meanWork);
    return { id, pool: queue.pool, atMs, steps, durationsMs, weight };
}

/** Draws from a log-normal distribution with a mean of one. */
function createLogNormal(random: () => number, sigma: number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    return Math.exp(sigma * normal - sigma * sigma / 2);
}
