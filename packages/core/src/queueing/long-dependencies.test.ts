import { describe, expect, it } from "@jest/globals";

import { computeDemandStages } from "../pools/compute-demand-stages.js";
import { addTestJob } from "../testing/add-test-job.js";
import { buildTestFleet } from "../testing/build-test-fleet.js";
import { buildTestStep } from "../testing/build-test-step.js";
import { collectCandidates } from "./collect-candidates.js";
import { computeCriticalPath } from "./compute-critical-path.js";

/** As many as fit into the body of a request. */
const dependencyCount = 130_900;
const stepMs = 500;

describe("a step that names another one again and again in its dependencies", () => {
    // Every keeper ended in turn when it led, as the list was spread into the arguments of a call.
    it("is planned like one that names it once", () => {
        const state = buildTestFleet(1, { cpu: 4_000, memory: 1_000, gpu: 0 });
        const after = Array.from({ length: dependencyCount }, () => 0);
        addTestJob(state, "a", [buildTestStep(), buildTestStep({ after })]);
        const job = state.fleet.jobs.get("a");
        if (job === undefined) {
            throw new TypeError("the job was not accepted");
        }
        expect(computeCriticalPath(job, undefined, () => stepMs)).toBe(2 * stepMs);
        expect(computeDemandStages(job.steps)).toHaveLength(2);
        const estimator = { computeStepMs: () => stepMs, readMeanJobWork: () => stepMs };
        expect(collectCandidates(state.fleet, 0, estimator).map(({ step }) => step)).toEqual([0]);
    });
});
