import { describe, expect, it } from "@jest/globals";

import { CommandKind } from "../control/command-kind.js";
import type { ControlState } from "../control/control-state.js";
import { decodeControlState } from "../control/decode-control-state.js";
import { encodeControlState } from "../control/encode-control-state.js";
import { applyRecordEnds } from "../jobs/apply-record-ends.js";
import { applyRecordStarts } from "../jobs/apply-record-starts.js";
import { JobPhase } from "../jobs/job-phase.js";
import type { JobStep } from "../jobs/job-step.js";
import { RunOutcome } from "../jobs/run-outcome.js";
import { applyRecordTarget } from "../targets/apply-record-target.js";
import { applyRemoveTarget } from "../targets/apply-remove-target.js";
import type { TargetRecord } from "../targets/target-record.js";
import { addTestJob } from "../testing/add-test-job.js";
import { buildTestFleet } from "../testing/build-test-fleet.js";
import { buildTestStep } from "../testing/build-test-step.js";
import { computeProbationMs } from "./compute-probation-ms.js";
import { RunProgress } from "./run-progress.js";

const capacity = { cpu: 8_000, memory: 8_000, gpu: 0 };
const { OnProbation, Settled, Unconfirmed, Unsent } = RunProgress;

function buildFleet(steps: readonly JobStep[] = [buildTestStep({ count: 3 })]): ControlState {
    const state = buildTestFleet(4, capacity);
    addTestJob(state, "a", steps);
    return state;
}

function readTarget(state: ControlState, id: string): TargetRecord {
    const target = state.fleet.targets.get(id);
    if (target === undefined) {
        throw new TypeError(`the fleet has no target ${id}`);
    }
    return target;
}

function start(state: ControlState, task: string, target: string): number {
    const [job = "", , step, index] = task.split(".");
    const record = state.fleet.jobs.get(job)?.occurrences.get(0)?.[Number(step)]?.tasks[Number(index)];
    const run = (record?.run ?? 0) + 1;
    const starts = [{ task, run, target }];
    expect(applyRecordStarts(state, { kind: CommandKind.RecordStarts, starts })).toHaveLength(1);
    return run;
}

/** Starts tasks on a target, which then crashes and starts again under a new id. */
function applyCrash(state: ControlState, target: string, tasks: Readonly<Record<string, RunProgress>>, atMs = 0) {
    const record = readTarget(state, target);
    const runs = Object.entries(tasks).map(([task, progress]) => ({ task, run: start(state, task, target), progress }));
    const removal = applyRemoveTarget(state, {
        kind: CommandKind.RemoveTarget,
        id: target,
        incarnation: record.incarnation,
        atMs,
        crash: { target, runs },
    });
    state.fleet.targets.set(target, { ...record, incarnation: record.incarnation + 1 });
    return removal;
}

function readCrashes(state: ControlState, index = 0) {
    return state.fleet.jobs.get("a")?.occurrences.get(0)?.[0]?.tasks[index]?.crashes;
}

describe("crashes of targets", () => {
    describe("under a task that causes them", () => {
        it("make it a suspect, and give it up when it crashes a second target without recent runs of other jobs", () => {
            const state = buildFleet();
            addTestJob(state, "b", [buildTestStep()]);
            applyCrash(state, "t0", { "a.0.0.0": OnProbation, "b.0.0.0": OnProbation });
            expect(state.fleet.jobs.get("a")?.phase).toBe(JobPhase.Running);
            expect([...state.fleet.suspectTasks]).toEqual(["a.0.0.0", "b.0.0.0"]);
            const runs = { "a.0.0.0": OnProbation, "a.0.0.2": OnProbation, "b.0.0.0": Settled };
            expect(applyCrash(state, "t1", runs, 5_000).poisonTasks).toEqual(["a.0.0.0"]);
            expect(state.fleet.jobs.get("a")).toMatchObject({ phase: JobPhase.Failed, endedAtMs: 5_000 });
            expect(state.fleet.jobs.get("b")?.phase).toBe(JobPhase.Running);
            expect(state.fleet.suspectTasks.size).toBe(0);
        });

        it("give it up after a third crash while the VM may be the cause, or its start was not confirmed", () => {
            const sameVm = buildFleet();
            applyCrash(sameVm, "t0", { "a.0.0.0": OnProbation });
            expect(applyCrash(sameVm, "t0", { "a.0.0.0": OnProbation }).poisonTasks).toEqual([]);
            expect(applyCrash(sameVm, "t1", { "a.0.0.0": OnProbation }).poisonTasks).toEqual(["a.0.0.0"]);
            const unconfirmed = buildFleet();
            applyCrash(unconfirmed, "t0", { "a.0.0.0": OnProbation });
            expect(applyCrash(unconfirmed, "t1", { "a.0.0.0": Unconfirmed }).poisonTasks).toEqual([]);
            expect(applyCrash(unconfirmed, "t2", { "a.0.0.0": OnProbation }).poisonTasks).toEqual(["a.0.0.0"]);
        });

        it("count once for each incarnation, whichever of the reports of its end comes first", () => {
            const state = buildFleet();
            const record = readTarget(state, "t0");
            const runs = [{ task: "a.0.0.0", run: start(state, "a.0.0.0", "t0"), progress: OnProbation }];
            const restarted = { ...record, incarnation: 2 };
            const command = { record: restarted, crashes: [{ target: "t0", runs }], atMs: 1 };
            applyRecordTarget(state, { kind: CommandKind.RecordTarget, ...command });
            applyRecordTarget(state, { kind: CommandKind.RecordTarget, ...command });
            const { isKnown } = applyRemoveTarget(state, {
                kind: CommandKind.RemoveTarget,
                id: "t0",
                incarnation: 1,
                atMs: 2,
                crash: { target: "t0", runs },
            });
            expect(isKnown).toBe(false);
            expect(readCrashes(state)).toMatchObject({ earlyCrashCount: 1 });
        });

        it("fail its job once the run that the restarted target may still have has ended", () => {
            const state = buildFleet();
            applyCrash(state, "t0", { "a.0.0.0": OnProbation });
            const record = readTarget(state, "t1");
            const run = start(state, "a.0.0.0", "t1");
            const crashes = [{ target: "t1", runs: [{ task: "a.0.0.0", run, progress: OnProbation }] }];
            const restarted = { ...record, incarnation: 2 };
            const { poisonTasks } = applyRecordTarget(state, {
                kind: CommandKind.RecordTarget,
                record: restarted,
                crashes,
                atMs: 3,
            });
            expect(poisonTasks).toEqual(["a.0.0.0"]);
            expect(state.fleet.jobs.get("a")?.phase).toBe(JobPhase.Running);
            const ends = [{ task: "a.0.0.0", run, target: "t1", how: RunOutcome.Stopped, saved: "" }];
            applyRecordEnds(state, { kind: CommandKind.RecordEnds, ends, atMs: 4 });
            expect(state.fleet.jobs.get("a")?.phase).toBe(JobPhase.Failed);
        });

        it("count when they are known only after the run has ended with the lease of its target", () => {
            const state = buildFleet();
            applyCrash(state, "t0", { "a.0.0.0": OnProbation });
            const run = start(state, "a.0.0.0", "t1");
            const lapse = { task: "a.0.0.0", run, target: "t1", how: RunOutcome.LeaseExpired, saved: "" };
            const ends = [{ ...lapse, progress: OnProbation }];
            applyRecordEnds(state, { kind: CommandKind.RecordEnds, ends, atMs: 0 });
            const restored = decodeControlState(encodeControlState(state));
            expect(applyCrash(restored, "t1", {}, 9_000).poisonTasks).toEqual(["a.0.0.0"]);
            expect(restored.fleet.jobs.get("a")).toMatchObject({ phase: JobPhase.Failed, endedAtMs: 9_000 });
        });

        it("do not count for runs that had ended with a lease before the target took starts again", () => {
            const state = buildFleet();
            const run = start(state, "a.0.0.0", "t0");
            const lapse = { task: "a.0.0.0", run, target: "t0", how: RunOutcome.LeaseExpired, saved: "" };
            const ends = [{ ...lapse, progress: OnProbation }];
            applyRecordEnds(state, { kind: CommandKind.RecordEnds, ends, atMs: 0 });
            applyCrash(state, "t0", { "a.0.0.1": Settled });
            expect(readCrashes(state)).toBeUndefined();
        });

        it("are known to a keeper that starts from a snapshot", () => {
            const state = buildFleet();
            applyCrash(state, "t0", { "a.0.0.0": OnProbation, "a.0.0.1": OnProbation });
            const restored = decodeControlState(encodeControlState(state));
            expect(restored.fleet.suspectTasks).toEqual(state.fleet.suspectTasks);
            expect(applyCrash(restored, "t1", { "a.0.0.0": OnProbation }).poisonTasks).toEqual(["a.0.0.0"]);
        });

        it("give up a gang whose members were the only recent runs", () => {
            const gang = buildFleet([buildTestStep({ count: 2, isGang: true })]);
            const startGang = (target: string) =>
                applyCrash(gang, target, { "a.0.0.0": OnProbation, "a.0.0.1": OnProbation });
            expect(startGang("t0").poisonTasks).toEqual([]);
            expect(startGang("t1").poisonTasks).not.toEqual([]);
            expect(gang.fleet.jobs.get("a")?.phase).toBe(JobPhase.Failed);
        });

        it("give up a long-running task too, which otherwise restarts however it ends", () => {
            const state = buildFleet([buildTestStep({ isLongRunning: true })]);
            applyCrash(state, "t0", { "a.0.0.0": OnProbation });
            applyCrash(state, "t1", { "a.0.0.0": OnProbation });
            expect(state.fleet.jobs.get("a")?.phase).toBe(JobPhase.Failed);
        });

        it("give it up when they come long after its starts, once it has run apart from others", () => {
            const state = buildFleet();
            ["t0", "t1", "t2"].forEach(target => applyCrash(state, target, { "a.0.0.0": Settled }));
            const late = "a.0.0.0";
            expect(computeProbationMs(state.fleet, late)).toBe(Number.POSITIVE_INFINITY);
            expect(applyCrash(state, "t3", { [late]: OnProbation }).poisonTasks).toEqual([late]);
        });
    });

    describe("under a task that only ran beside the cause", () => {
        it("do not make it a suspect if it had passed its probation, or had not been sent", () => {
            const state = buildFleet();
            applyCrash(state, "t0", { "a.0.0.0": OnProbation, "a.0.0.1": Settled, "a.0.0.2": Unsent });
            expect([...state.fleet.suspectTasks]).toEqual(["a.0.0.0"]);
            expect(readCrashes(state, 2)).toBeUndefined();
        });

        it("clear it when it had passed its probation by the next one", () => {
            const state = buildFleet();
            applyCrash(state, "t0", { "a.0.0.0": OnProbation, "a.0.0.1": OnProbation });
            applyCrash(state, "t1", { "a.0.0.0": OnProbation, "a.0.0.1": Settled });
            expect(state.fleet.suspectTasks.has("a.0.0.1")).toBe(false);
        });

        it("do not give it up as long as runs of other jobs were as recent", () => {
            const state = buildFleet();
            addTestJob(state, "b", [buildTestStep()]);
            ["t0", "t1", "t2"].forEach(target =>
                applyCrash(state, target, { "a.0.0.0": OnProbation, "b.0.0.0": OnProbation })
            );
            expect(state.fleet.jobs.get("a")?.phase).toBe(JobPhase.Running);
            expect(state.fleet.jobs.get("b")?.phase).toBe(JobPhase.Running);
        });

        it("do not make a long-running task a suspect, however many crash under it while it serves", () => {
            const state = buildFleet([buildTestStep({ isLongRunning: true })]);
            ["t0", "t1", "t2", "t3"].forEach(target => applyCrash(state, target, { "a.0.0.0": Settled }));
            expect(state.fleet.suspectTasks.size).toBe(0);
        });

        it("are forgotten after a minute", () => {
            const state = buildFleet();
            applyCrash(state, "t0", { "a.0.0.0": OnProbation }, 1_000);
            expect(applyCrash(state, "t1", { "a.0.0.0": OnProbation }, 70_000).poisonTasks).toEqual([]);
        });
    });

    describe("that are planned or not certain", () => {
        it("are charged to no task", () => {
            const state = buildFleet();
            const record = readTarget(state, "t0");
            start(state, "a.0.0.0", "t0");
            applyRemoveTarget(state, { kind: CommandKind.RemoveTarget, id: "t0", incarnation: 1, atMs: 0 });
            state.fleet.targets.set("t0", record);
            const run = start(state, "a.0.0.0", "t1");
            const ends = [{ task: "a.0.0.0", run, target: "t1", how: RunOutcome.LeaseExpired, saved: "" }];
            applyRecordEnds(state, { kind: CommandKind.RecordEnds, ends, atMs: 0 });
            expect(readCrashes(state)).toBeUndefined();
        });

        it("leave an end as done that was recorded before", () => {
            const state = buildFleet();
            applyCrash(state, "t0", { "a.0.0.0": OnProbation });
            const run = start(state, "a.0.0.0", "t1");
            const ends = [{ task: "a.0.0.0", run, target: "t1", how: RunOutcome.Done, saved: "" }];
            applyRecordEnds(state, { kind: CommandKind.RecordEnds, ends, atMs: 0 });
            expect(state.fleet.suspectTasks.size).toBe(0);
            expect(applyCrash(state, "t1", { "a.0.0.1": OnProbation }).poisonTasks).toEqual([]);
            expect(state.fleet.jobs.get("a")?.occurrences.get(0)?.[0]?.doneCount).toBe(1);
        });
    });
});
