import type { JobStep } from "../jobs/job-step.js";

/**
 * Builds a step for tests.
 * @param fields - fields that differ from the default, which is one task of one core
 * @returns the step
 */
export function buildTestStep(fields: Partial<JobStep> = {}): JobStep {
    return {
        count: 1,
        needs: { cpu: 1_000, memory: 100, gpu: 0 },
        estimateMs: 500,
        after: [],
        hasCheckpoints: false,
        isGang: false,
        isSameRack: false,
        requiredLabel: undefined,
        dataRack: undefined,
        maxPerTarget: 0,
        isSpeculative: false,
        isLongRunning: false,
        image: "",
        tailBoundMs: 0,
        isFiller: false,
        mayMiss: undefined,
        ...fields,
    };
}
