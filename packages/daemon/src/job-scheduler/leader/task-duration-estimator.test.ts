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
    return { book: new TaskDurationEstimator(), job, step };
}

describe("what is expected of tasks", () => {
    it("is the caller's guess until several runs were seen", () => {
        const { book, job, step } = createFixture();
        Array.from({ length: 10 }, () => book.noteRun(job, step, 500));
        expect(book.isCalibrated(job, step)).toBe(false);
        expect(book.computeStepMs(job, step)).toBeCloseTo(500);
    });

    it("follows what was seen when guesses are off", () => {
        const { book, job, step } = createFixture(100);
        Array.from({ length: 40 }, () => book.noteRun(job, step, 900));
        expect(book.computeStepMs(job, step)).toBeGreaterThan(800);
    });

    it("is not spoilt by targets that have turned slow", () => {
        const { book, job, step } = createFixture();
        Array.from({ length: 20 }, () => book.noteRun(job, step, 500));
        for (let round = 0; round < 20; round++) {
            book.noteRun(job, step, 500);
            book.noteRun(job, step, 3_250);
        }
        // A target that works 6.5 times slower has to show as slow.
        expect(3_250 / book.computeTaskMs(job, step)).toBeGreaterThan(2.5);
    });
});
