import { describe, expect, it } from "@jest/globals";

import { buildTestStep } from "../testing/build-test-step.js";
import { computeDemandStages } from "./compute-demand-stages.js";

const needs = { cpu: 2_000, memory: 100, gpu: 0 };

describe("what the steps of a job request over time", () => {
    it("begins when the steps that have to be done before have ended", () => {
        const steps = [
            buildTestStep({ count: 3, needs, estimateMs: 500 }),
            buildTestStep({ count: 1, needs, estimateMs: 900 }),
            buildTestStep({ count: 2, needs, estimateMs: 400, after: [0, 1] }),
        ];
        expect(computeDemandStages(steps)).toEqual([
            { fromMs: 0, toMs: 500, cpu: 6_000 },
            { fromMs: 0, toMs: 900, cpu: 2_000 },
            { fromMs: 900, toMs: 1_300, cpu: 4_000 },
        ]);
    });

    it("leaves out long-running and best-effort steps", () => {
        expect(computeDemandStages([buildTestStep({ isLongRunning: true }), buildTestStep({ isFiller: true })]))
            .toEqual([]);
    });
});
