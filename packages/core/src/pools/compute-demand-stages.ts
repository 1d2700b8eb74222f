import { computeLatestEnd } from "../jobs/compute-latest-end.js";
import type { JobStep } from "../jobs/job-step.js";
import type { DemandStage } from "./demand-stage.js";

/**
 * Computes what the steps of a job request over time if none of its tasks waits, from the estimates of their durations.
 * Long-running steps, whose demand is no part of a burst, and best-effort steps have no stage.
 * @param steps - the steps
 * @returns the stages
 */
export function computeDemandStages(steps: readonly JobStep[]): readonly DemandStage[] {
    const ends: number[] = [];
    return steps.flatMap(({ after, estimateMs, count, needs, isLongRunning, isFiller }) => {
        const fromMs = computeLatestEnd(ends, after);
        const toMs = fromMs + estimateMs;
        ends.push(toMs);
        return isLongRunning || isFiller ? [] : [{ fromMs, toMs, cpu: count * needs.cpu }];
    });
}
