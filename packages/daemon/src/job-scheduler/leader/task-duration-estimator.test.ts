import { addTestJob } from "@daisylock/core/testing/add-test-job.js";
import { buildTestFleet } from "@daisylock/core/testing/build-test-fleet.js";
import { buildTestStep } from "@daisylock/core/testing/build-test-step.js";
import { describe, expect, it } from "@jest/globals";

import { TaskDurationEstimator } from "./task-duration-estimator.js";

function createFixture(estimateMs = 500) {
    const state = buildTestFleet(1, { cpu: 1_000, memory: 1_000, gpu: 0 });
    const step = buildTestStep({ estimateMs });
    addTestJob(state, "a", [step]);
    const job = state.fleet.jobs.get("a");
    if (job === undefined) {
        throw new TypeError("the test fleet has no job");
    }
    return { estimator: new TaskDurationEstimator(), job, step };
}

describe("TaskDurationEstimator", () => {
    it("is not calibrated after a few runs, and keeps an estimate that they confirm", () => {
        const { estimator, job, step } = createFixture();
        Array.from({ length: 10 }, () => estimator.noteRun(job, step, 500));
        expect(estimator.isCalibrated(job, step)).toBe(false);
        expect(estimator.computeStepMs(job, step)).toBeCloseTo(500);
    });

    it("follows the measured durations when estimates are wrong", () => {
        const { estimator, job, step } = createFixture(100);
        Array.from({ length: 40 }, () => estimator.noteRun(job, step, 900));
        expect(estimator.computeStepMs(job, step)).toBeGreaterThan(800);
    });

    it("is not distorted by targets that have become slow", () => {
        const { estimator, job, step } = createFixture();
        Array.from({ length: 20 }, () => estimator.noteRun(job, step, 500));
        for (let round = 0; round < 20; round++) {
            estimator.noteRun(job, step, 500);
            estimator.noteRun(job, step, 3_250);
        }
        // A target that is 6.5 times slower still has to be recognizable as slow.
        expect(3_250 / estimator.computeTaskMs(job, step)).toBeGreaterThan(2.5);
    });
});
