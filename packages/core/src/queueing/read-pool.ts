import type { StepCandidate } from "./step-candidate.js";

/**
 * Reads the pool in which a step runs: that of its queue, or the one with which its job was accepted if the queue is gone.
 * @param candidate - the step
 * @returns name of the pool
 */
export function readPool({ queue, job }: Pick<StepCandidate, "queue" | "job">): string {
    return queue?.pool ?? job.pool;
}
