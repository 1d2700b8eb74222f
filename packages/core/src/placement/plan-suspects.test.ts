import { describe, expect, it } from "@jest/globals";

import { CommandKind } from "../control/command-kind.js";
import type { ControlState } from "../control/control-state.js";
import { RunProgress } from "../crashes/run-progress.js";
import { applyRecordStarts } from "../jobs/apply-record-starts.js";
import type { JobStep } from "../jobs/job-step.js";
import type { TaskStart } from "../jobs/task-start.js";
import { collectCandidates } from "../queueing/collect-candidates.js";
import { applyRemoveTarget } from "../targets/apply-remove-target.js";
import { addTestJob } from "../testing/add-test-job.js";
import { buildTestFleet } from "../testing/build-test-fleet.js";
import { buildTestStep } from "../testing/build-test-step.js";
import { buildPlacementTargets } from "./build-placement-targets.js";
import { planStarts } from "./plan-starts.js";
import { StartsUnderWay } from "./starts-under-way.js";

const capacity = { cpu: 4_000, memory: 4_000, gpu: 0 };
const estimator = { computeStepMs: (_: unknown, step: JobStep) => step.estimateMs, readMeanJobWork: () => 1_000 };

/** Plans and records one round. All runs on the given targets count as on probation. */
function runRound(
    state: ControlState,
    recentTargets: readonly string[] = [],
    noteKept: (target: string) => void = () => undefined,
): readonly TaskStart[] {
    const starts = planRound(state, new StartsUnderWay(), recentTargets, noteKept);
    return applyRecordStarts(state, { kind: CommandKind.RecordStarts, starts });
}

/** Plans one round beside starts that are not committed yet. */
function planRound(
    state: ControlState,
    underWay: StartsUnderWay,
    recentTargets: readonly string[] = [],
    noteKept: (target: string) => void = () => undefined,
): readonly TaskStart[] {
    const countRuns = (target: string): number => state.fleet.targetLoads.get(target)?.runs.size ?? 0;
    const view = underWay.buildView(state.fleet);
    return planStarts(
        view,
        underWay.dropFrom(collectCandidates(view, 0, estimator)),
        buildPlacementTargets(view, () => Number.POSITIVE_INFINITY),
        {
            probation: {
                isOnProbation: (_task, _run, target) => recentTargets.includes(target),
                findStartTarget: task => underWay.findTarget(task),
                countOnProbation: target =>
                    (recentTargets.includes(target) ? countRuns(target) : 0) + underWay.countOnTarget(target),
                noteKept,
            },
        },
    );
}

/** Crashes the target of a task, so that all tasks that run there become suspects. */
function stopTarget(state: ControlState, id: string): void {
    const record = state.fleet.targets.get(id);
    const runs = [...state.fleet.targetLoads.get(id)?.runs ?? []].map(([task, run]) => ({
        task,
        run,
        progress: RunProgress.OnProbation,
    }));
    applyRemoveTarget(state, {
        kind: CommandKind.RemoveTarget,
        id,
        incarnation: record?.incarnation ?? 0,
        atMs: 0,
        crash: { target: id, runs },
    });
}

function listTargets(starts: readonly TaskStart[], job: string): string[] {
    return starts.filter(({ task }) => task.startsWith(`${job}.`)).map(({ target }) => target);
}

describe("the placement of suspects", () => {
    it("runs those of a job together, and each job on a target of its own, on which nothing else starts meanwhile", () => {
        const state = buildTestFleet(9, capacity);
        addTestJob(state, "a", [buildTestStep({ count: 2 })]);
        addTestJob(state, "b", [buildTestStep({ count: 2 })]);
        const [first] = runRound(state);
        stopTarget(state, first?.target ?? "");
        expect([...state.fleet.suspectTasks].sort()).toEqual(["a.0.0.0", "a.0.0.1", "b.0.0.0", "b.0.0.1"]);
        addTestJob(state, "c", [buildTestStep({ count: 8 })]);
        const starts = runRound(state);
        const suspectTargets = [...listTargets(starts, "a"), ...listTargets(starts, "b")];
        expect(listTargets(starts, "a")[0]).toBe(listTargets(starts, "a")[1]);
        expect(listTargets(starts, "b")[0]).toBe(listTargets(starts, "b")[1]);
        expect(new Set(suspectTargets).size).toBe(2);
        expect(listTargets(starts, "c")).toHaveLength(8);
        expect(listTargets(starts, "c").filter(target => suspectTargets.includes(target))).toEqual([]);
        addTestJob(state, "d", [buildTestStep({ count: 4 })]);
        const next = runRound(state, suspectTargets);
        expect(listTargets(next, "d")).toHaveLength(4);
        expect(next.filter(({ target }) => suspectTargets.includes(target))).toEqual([]);
    });

    // A round that did not see the starts under way put other tasks beside a task that may crash its target.
    it("starts nothing beside suspects whose start is not committed yet", () => {
        const state = buildTestFleet(9, capacity);
        addTestJob(state, "a", [buildTestStep({ count: 2 })]);
        const [first] = runRound(state);
        stopTarget(state, first?.target ?? "");
        const underWay = new StartsUnderWay();
        const starts = planRound(state, underWay);
        expect(listTargets(starts, "a")).toHaveLength(2);
        underWay.addStarts(starts);
        addTestJob(state, "b", [buildTestStep({ count: 28 })]);
        const next = planRound(state, underWay);
        expect(listTargets(next, "b")).toHaveLength(28);
        expect(listTargets(next, "b")).not.toContain(listTargets(starts, "a")[0]);
    });

    it("never puts more than half of a pool at risk at once", () => {
        const state = buildTestFleet(6, capacity);
        const jobs = ["a", "b", "c", "d"];
        jobs.forEach(job => addTestJob(state, job, [buildTestStep()]));
        const [first] = runRound(state);
        stopTarget(state, first?.target ?? "");
        const starts = runRound(state);
        expect(new Set(starts.map(({ target }) => target)).size).toBe(2);
        expect(starts).toHaveLength(2);
        expect(runRound(state, starts.map(({ target }) => target))).toEqual([]);
        expect(runRound(state)).toHaveLength(2);
    });

    it("waits until the runs on a target have passed their probation, and keeps others from it meanwhile", () => {
        const state = buildTestFleet(2, capacity);
        addTestJob(state, "a", [buildTestStep({ count: 1 })]);
        runRound(state);
        stopTarget(state, "t0");
        addTestJob(state, "b", [buildTestStep({ count: 1, estimateMs: 5_000 })]);
        applyRecordStarts(state, {
            kind: CommandKind.RecordStarts,
            starts: [{ task: "b.0.0.0", run: 1, target: "t1" }],
        });
        addTestJob(state, "c", [buildTestStep({ count: 1 })]);
        expect(runRound(state, ["t1"])).toEqual([]);
        expect(listTargets(runRound(state), "a")).toEqual(["t1"]);
    });

    it("holds the other tasks of a step whose suspect waits or is on probation", () => {
        const state = buildTestFleet(4, capacity);
        addTestJob(state, "a", [buildTestStep({ count: 4 })]);
        applyRecordStarts(state, {
            kind: CommandKind.RecordStarts,
            starts: [{ task: "a.0.0.0", run: 1, target: "t0" }],
        });
        stopTarget(state, "t0");
        const [suspect, ...others] = runRound(state);
        expect(suspect).toMatchObject({ task: "a.0.0.0", run: 2 });
        expect(others).toEqual([]);
        expect(runRound(state, [suspect?.target ?? ""])).toEqual([]);
        expect(runRound(state)).toHaveLength(3);
    });

    it("prefers a VM on which the task has not crashed a target", () => {
        const state = buildTestFleet(3, capacity);
        const record = state.fleet.targets.get("t0");
        addTestJob(state, "a", [buildTestStep()]);
        applyRecordStarts(state, {
            kind: CommandKind.RecordStarts,
            starts: [{ task: "a.0.0.0", run: 1, target: "t0" }],
        });
        stopTarget(state, "t0");
        if (record !== undefined) {
            state.fleet.targets.set("t0", { ...record, incarnation: 2 });
        }
        expect(listTargets(runRound(state), "a")).not.toContain("t0");
    });

    it("starts a gang as a whole, on targets without other recent runs", () => {
        const state = buildTestFleet(4, capacity);
        addTestJob(state, "a", [buildTestStep({ count: 6, isGang: true })]);
        const [first] = runRound(state);
        stopTarget(state, first?.target ?? "");
        for (const [task, run] of [...state.fleet.targetLoads].flatMap(([, { runs }]) => [...runs])) {
            const target = [...state.fleet.targetLoads].find(([, { runs }]) => runs.has(task))?.[0] ?? "";
            stopTarget(state, target);
            expect(run).toBe(1);
        }
        const starts = runRound(state);
        expect(starts.length === 6 || starts.length === 0).toBe(true);
        expect(state.fleet.targets.size < 2 || starts.length === 6).toBe(true);
    });

    it("does not hold the other long-running tasks of a step", () => {
        const state = buildTestFleet(4, capacity);
        addTestJob(state, "a", [buildTestStep({ count: 5, isLongRunning: true })]);
        applyRecordStarts(state, {
            kind: CommandKind.RecordStarts,
            starts: [{ task: "a.0.0.0", run: 1, target: "t0" }],
        });
        stopTarget(state, "t0");
        expect(listTargets(runRound(state), "a")).toHaveLength(5);
    });

    it("tells which target is kept until its runs have passed their probation, and no other", () => {
        const state = buildTestFleet(2, capacity);
        addTestJob(state, "a", [buildTestStep({ count: 4 })]);
        runRound(state);
        addTestJob(state, "b", [buildTestStep({ count: 2 })]);
        runRound(state);
        stopTarget(state, "t0");
        const kept: string[] = [];
        expect([runRound(state, ["t1"], target => kept.push(target)), kept]).toEqual([[], ["t1"]]);
        kept.length = 0;
        expect(runRound(state, [], target => kept.push(target))).not.toEqual([]);
        expect(kept).toEqual([]);
    });
});
