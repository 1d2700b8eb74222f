import { computeDueTime } from "./compute-due-time.js";
import { readPool } from "./read-pool.js";
import type { StepCandidate } from "./step-candidate.js";

/**
 * Lists the step of each pool whose occurrence is due for the longest time.
 * @param candidates - the steps that have tasks to start
 * @returns one step for each pool in which a step waits
 */
export function listLongestWaiting(candidates: readonly StepCandidate[]): readonly StepCandidate[] {
    const oldest = new Map<string, StepCandidate>();
    for (const candidate of candidates) {
        const pool = readPool(candidate);
        const other = oldest.get(pool);
        if (other === undefined || readDueTime(candidate) < readDueTime(other)) {
            oldest.set(pool, candidate);
        }
    }
    return [...oldest.values()];
}

function readDueTime({ job, occurrence }: StepCandidate): number {
    return computeDueTime(job, occurrence);
}
