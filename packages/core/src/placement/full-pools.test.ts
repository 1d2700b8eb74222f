import { describe, expect, it } from "@jest/globals";

import type { JobStep } from "../jobs/job-step.js";
import { collectCandidates } from "../queueing/collect-candidates.js";
import { addTestJob } from "../testing/add-test-job.js";
import { buildTestFleet } from "../testing/build-test-fleet.js";
import { buildTestStep } from "../testing/build-test-step.js";
import { buildPlacementTargets } from "./build-placement-targets.js";
import { planStarts } from "./plan-starts.js";

const targetCount = 50;
const capacity = { cpu: 4_000, memory: 4_000, gpu: 0 };
const estimator = { computeStepMs: (_: unknown, step: JobStep) => step.estimateMs, readMeanJobWork: () => 1_000 };

/** Plans a round for a backlog and counts how often a target was looked at for a task. */
function planBacklog(steps: readonly JobStep[]): { readonly visits: number; readonly starts: number } {
    const state = buildTestFleet(targetCount, capacity);
    steps.forEach((step, index) => addTestJob(state, `j${index}`, [step]));
    const pools = buildPlacementTargets(state.fleet, () => Number.POSITIVE_INFINITY);
    let visits = 0;
    for (const target of [...pools.values()].flat()) {
        let startsLeft = target.startsLeft;
        Object.defineProperty(target, "startsLeft", {
            get: () => {
                visits += 1;
                return startsLeft;
            },
            set: (value: number) => {
                startsLeft = value;
            },
        });
    }
    const starts = planStarts(state.fleet, collectCandidates(state.fleet, 0, estimator), pools).length;
    return { visits, starts };
}

describe("a placement round", () => {
    const tooLarge = buildTestStep({ needs: { cpu: 5_000, memory: 100, gpu: 0 } });

    // Every waiting step had all targets of its pool visited in every round of a burst.
    it("visits no more targets for a longer backlog that finds no room", () => {
        const few = planBacklog(Array.from({ length: 10 }, () => tooLarge));
        const many = planBacklog(Array.from({ length: 500 }, () => tooLarge));
        expect(few.visits).toBe(targetCount);
        expect(many.visits).toBe(few.visits);
    });

    it("still places a step that needs less than one without room, or another label", () => {
        const labelled = { ...tooLarge, requiredLabel: "r1" };
        expect(planBacklog([tooLarge, buildTestStep({ count: 3 })]).starts).toBe(3);
        expect(planBacklog([labelled, buildTestStep({ count: 3, needs: { cpu: 4_000, memory: 200, gpu: 0 } })]).starts)
            .toBe(3);
    });

    it("still places steps after one whose account is at its limit", () => {
        const state = buildTestFleet(targetCount, capacity, { cpu: 2_000, memory: 0, gpu: 0 });
        addTestJob(state, "a", [buildTestStep({ count: 4 })]);
        const pools = buildPlacementTargets(state.fleet, () => Number.POSITIVE_INFINITY);
        expect(planStarts(state.fleet, collectCandidates(state.fleet, 0, estimator), pools)).toHaveLength(2);
    });
});
