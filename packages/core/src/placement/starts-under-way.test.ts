import { describe, expect, it } from "@jest/globals";
import fc from "fast-check";

import { CommandKind } from "../control/command-kind.js";
import type { ControlState } from "../control/control-state.js";
import { applyRecordStarts } from "../jobs/apply-record-starts.js";
import type { TaskStart } from "../jobs/task-start.js";
import { collectCandidates } from "../queueing/collect-candidates.js";
import { isWithin } from "../resources/is-within.js";
import { zeroResources } from "../resources/zero-resources.js";
import { addTestJob } from "../testing/add-test-job.js";
import { buildTestFleet } from "../testing/build-test-fleet.js";
import { buildTestStep } from "../testing/build-test-step.js";
import { runRandomFleet } from "../testing/run-random-fleet.js";
import { buildPlacementTargets } from "./build-placement-targets.js";
import { planStarts } from "./plan-starts.js";
import { StartsUnderWay } from "./starts-under-way.js";

const capacity = { cpu: 4_000, memory: 4_000, gpu: 0 };
const estimator = { computeStepMs: () => 500, readMeanJobWork: () => 1_000 };

function planRound({ fleet }: ControlState, underWay: StartsUnderWay): readonly TaskStart[] {
    const view = underWay.buildView(fleet);
    const candidates = underWay.dropFrom(collectCandidates(view, 0, estimator));
    return planStarts(view, candidates, buildPlacementTargets(view, () => Infinity));
}

describe("StartsUnderWay", () => {
    it("keeps a round from starting a task twice and from filling a target twice", () => {
        const state = buildTestFleet(2, capacity);
        addTestJob(state, "a", [buildTestStep({ count: 10 })]);
        const underWay = new StartsUnderWay();
        const starts = planRound(state, underWay);
        expect(starts).toHaveLength(8);
        underWay.addStarts(starts);
        expect(planRound(state, underWay)).toEqual([]);
        underWay.removeStarts(starts);
        expect(planRound(state, underWay)).toEqual(starts);
    });

    // The tasks of a backlog are gone through in each round.
    it("visits only the tasks of jobs that have starts under way", () => {
        const state = buildTestFleet(1, capacity);
        addTestJob(state, "a", [buildTestStep({ count: 6 })]);
        addTestJob(state, "b", [buildTestStep({ count: 500 })]);
        const underWay = new StartsUnderWay();
        underWay.addStarts([{ task: "a.0.0.0", run: 1, target: "t0" }]);
        const candidates = collectCandidates(state.fleet, 0, estimator);
        const dropped = underWay.dropFrom(candidates);
        expect(dropped.find(({ job }) => job.id === "a")?.waiting).toEqual([1, 2, 3, 4, 5]);
        expect(dropped.find(({ job }) => job.id === "b")).toBe(candidates.find(({ job }) => job.id === "b"));
    });

    it("counts towards the limit of a client account", () => {
        const state = buildTestFleet(2, capacity, { cpu: 3_000, memory: 0, gpu: 0 });
        addTestJob(state, "a", [buildTestStep({ count: 2 })]);
        addTestJob(state, "b", [buildTestStep({ count: 2 })]);
        const underWay = new StartsUnderWay();
        const [first] = planRound(state, underWay);
        underWay.addStarts(first === undefined ? [] : [first]);
        expect(planRound(state, underWay)).toHaveLength(2);
    });

    it("does not count starts that are recorded meanwhile", () => {
        const state = buildTestFleet(2, capacity);
        addTestJob(state, "a", [buildTestStep({ count: 4 })]);
        const underWay = new StartsUnderWay();
        const starts = planRound(state, underWay);
        underWay.addStarts(starts);
        applyRecordStarts(state, { kind: CommandKind.RecordStarts, starts });
        expect(underWay.buildView(state.fleet)).toBe(state.fleet);
    });

    it("leads to the state that rounds that wait for their commits lead to: no target or account above its limit", () => {
        fc.assert(
            fc.property(fc.integer(), fc.integer({ min: 1, max: 4 }), (seed, depth) => {
                runRandomFleet(seed, ({ state, now, estimator: random, countStartsLeft }) => {
                    const { fleet } = state;
                    const underWay = new StartsUnderWay();
                    const before = structuredClone([...fleet.targetLoads]);
                    const proposed: TaskStart[] = [];
                    for (let round = 0; round < depth; round++) {
                        const view = underWay.buildView(fleet);
                        const pools = buildPlacementTargets(
                            view,
                            target => Math.max(0, countStartsLeft(target) - underWay.countOnTarget(target)),
                        );
                        const starts = planStarts(view, underWay.dropFrom(collectCandidates(view, now, random)), pools);
                        underWay.addStarts(starts);
                        proposed.push(...starts);
                    }
                    expect(new Set(proposed.map(({ task }) => task)).size).toBe(proposed.length);
                    const view = underWay.buildView(fleet);
                    for (const { target } of proposed) {
                        const used = view.targetLoads.get(target)?.used ?? zeroResources;
                        expect(isWithin(used, fleet.targets.get(target)?.capacity ?? zeroResources)).toBe(true);
                        const count = proposed.filter(start => start.target === target).length;
                        expect(count).toBeLessThanOrEqual(countStartsLeft(target));
                    }
                    for (const { name, cap } of fleet.configuration?.accounts ?? []) {
                        const running = view.accountLoads.get(name) ?? zeroResources;
                        expect(cap.cpu === 0 || running.cpu <= cap.cpu).toBe(true);
                    }
                    expect([...fleet.targetLoads]).toEqual(before);
                });
            }),
            { numRuns: 60 },
        );
    });
});
