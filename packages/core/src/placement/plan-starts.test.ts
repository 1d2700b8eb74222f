import { describe, expect, it } from "@jest/globals";

import { CommandKind } from "../control/command-kind.js";
import type { ControlState } from "../control/control-state.js";
import { applyRecordEnds } from "../jobs/apply-record-ends.js";
import { applyRecordStarts } from "../jobs/apply-record-starts.js";
import type { JobStep } from "../jobs/job-step.js";
import { RunOutcome } from "../jobs/run-outcome.js";
import { collectCandidates } from "../queueing/collect-candidates.js";
import { addTestJob } from "../testing/add-test-job.js";
import { buildTestFleet } from "../testing/build-test-fleet.js";
import { buildTestStep } from "../testing/build-test-step.js";
import { buildPlacementTargets } from "./build-placement-targets.js";
import { planStarts } from "./plan-starts.js";

const capacity = { cpu: 4_000, memory: 4_000, gpu: 0 };
const estimator = { computeStepMs: (_: unknown, step: JobStep) => step.estimateMs, readMeanJobWork: () => 1_000 };

function planTargets(
    state: ControlState,
    startsLeft: (target: string) => number = () => Number.POSITIVE_INFINITY,
): string[] {
    const pools = buildPlacementTargets(state.fleet, startsLeft);
    return planStarts(state.fleet, collectCandidates(state.fleet, 0, estimator), pools).map(({ target }) => target);
}

describe("placement", () => {
    it("never places more tasks on a target than its capacity allows", () => {
        const state = buildTestFleet(2, capacity);
        addTestJob(state, "a", [buildTestStep({ count: 20 })]);
        const targets = planTargets(state);
        expect(targets).toHaveLength(8);
        expect(targets.filter(target => target === "t0")).toHaveLength(4);
    });

    it("starts nothing on a target whose capacity has shrunk below its tasks, and goes on when it grows again", () => {
        const state = buildTestFleet(1, capacity);
        addTestJob(state, "a", [buildTestStep({ count: 8 })]);
        const record = state.fleet.targets.get("t0");
        const setCpu = (cpu: number) =>
            record !== undefined
            && state.fleet.targets.set("t0", { ...record, capacity: { ...capacity, cpu } });
        const starts = [0, 1].map(index => ({ task: `a.0.0.${index}`, run: 1, target: "t0" }));
        applyRecordStarts(state, { kind: CommandKind.RecordStarts, starts });
        setCpu(1_000);
        expect(planTargets(state)).toEqual([]);
        setCpu(3_000);
        expect(planTargets(state)).toHaveLength(1);
    });

    it("respects the maximum per target, the required label and the data rack", () => {
        const state = buildTestFleet(4, capacity);
        addTestJob(state, "a", [buildTestStep({ count: 4, maxPerTarget: 1 })]);
        expect(new Set(planTargets(state)).size).toBe(4);
        const withLabel = buildTestFleet(4, capacity);
        addTestJob(withLabel, "a", [buildTestStep({ count: 2, requiredLabel: "r1" })]);
        expect(planTargets(withLabel).every(target => target === "t2" || target === "t3")).toBe(true);
        const withDataRack = buildTestFleet(4, capacity);
        addTestJob(withDataRack, "a", [buildTestStep({ count: 5, dataRack: "r1" })]);
        expect(planTargets(withDataRack).every(target => target === "t2" || target === "t3")).toBe(true);
    });

    it("starts all tasks of a gang or none, and gives the capacity of a gang that does not fit to other steps", () => {
        const state = buildTestFleet(2, capacity);
        addTestJob(state, "a", [buildTestStep({ count: 9, isGang: true })]);
        addTestJob(state, "b", [buildTestStep({ count: 8, estimateMs: 400 })]);
        expect(planTargets(state)).toHaveLength(8);
    });

    it("starts one task on a target with a half-open circuit and none on an ejected target", () => {
        const state = buildTestFleet(3, capacity);
        addTestJob(state, "a", [buildTestStep({ count: 12 })]);
        const targets = planTargets(state, id => ({ t0: 0, t1: 1 })[id] ?? Number.POSITIVE_INFINITY);
        expect(targets.filter(target => target === "t0")).toHaveLength(0);
        expect(targets.filter(target => target === "t1")).toHaveLength(1);
        expect(targets.filter(target => target === "t2")).toHaveLength(4);
    });

    it("moves a failed task to another target", () => {
        const state = buildTestFleet(2, capacity);
        addTestJob(state, "a", [buildTestStep()]);
        const [first] = planTargets(state);
        expect(first).toBeDefined();
        const run = { task: "a.0.0.0", run: 1, target: first ?? "" };
        applyRecordStarts(state, { kind: CommandKind.RecordStarts, starts: [run] });
        const ends = [{ ...run, how: RunOutcome.Failed, saved: "" }];
        expect(applyRecordEnds(state, { kind: CommandKind.RecordEnds, ends, atMs: 0 })).toHaveLength(1);
        expect(planTargets(state)).not.toContain(first);
    });

    // Guards against rounds so long that the leader loses its lease.
    it("does not place a gang task by task where it cannot fit", () => {
        const state = buildTestFleet(4, capacity);
        addTestJob(state, "a", [buildTestStep({ count: 20_000, isGang: true })]);
        const candidates = collectCandidates(state.fleet, 0, { computeStepMs: () => 500, readMeanJobWork: () => 500 });
        const pools = buildPlacementTargets(state.fleet, () => Number.POSITIVE_INFINITY);
        let readings = 0;
        for (const target of [...pools.values()].flat()) {
            const { free } = target;
            Object.defineProperty(target, "free", { get: () => (readings++, free) });
        }
        expect(planStarts(state.fleet, candidates, pools)).toEqual([]);
        expect(readings).toBeLessThan(100);
    });

    it("reserves no CPU for fillers and keeps them away from tasks that serve users", () => {
        const state = buildTestFleet(2, capacity);
        addTestJob(state, "serving", [buildTestStep({ isLongRunning: true, tailBoundMs: 50 })]);
        addTestJob(state, "filler", [
            buildTestStep({ count: 3, isLongRunning: true, isFiller: true, needs: { cpu: 4_000, memory: 10, gpu: 0 } }),
        ]);
        const targets = planTargets(state);
        expect(targets).toHaveLength(4);
        expect(targets.filter(target => target === targets[0])).toHaveLength(1);
    });
});
