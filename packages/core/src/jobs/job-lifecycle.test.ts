import { describe, expect, it } from "@jest/globals";

import { CommandKind } from "../control/command-kind.js";
import type { ControlState } from "../control/control-state.js";
import { decodeControlState } from "../control/decode-control-state.js";
import { encodeControlState } from "../control/encode-control-state.js";
import { SubmitJobOutcome } from "../control/submit-job-outcome.js";
import { addTestJob } from "../testing/add-test-job.js";
import { buildTestFleet } from "../testing/build-test-fleet.js";
import { buildTestStep } from "../testing/build-test-step.js";
import { applyCancelJob } from "./apply-cancel-job.js";
import { applyDropJobs } from "./apply-drop-jobs.js";
import { applyRecordEnds } from "./apply-record-ends.js";
import { applyRecordStarts } from "./apply-record-starts.js";
import { applySubmitJob } from "./apply-submit-job.js";
import { JobPhase } from "./job-phase.js";
import { RunOutcome } from "./run-outcome.js";

const capacity = { cpu: 4_000, memory: 1_000, gpu: 0 };

function addStart(state: ControlState, task: string, run = 1, target = "t0"): boolean {
    const starts = [{ task, run, target }];
    return applyRecordStarts(state, { kind: CommandKind.RecordStarts, starts }).length === 1;
}

function addEnd(state: ControlState, task: string, how: RunOutcome, run = 1, target = "t0"): boolean {
    const ends = [{ task, run, target, how, saved: "" }];
    return applyRecordEnds(state, { kind: CommandKind.RecordEnds, ends, atMs: 5 }).length === 1;
}

describe("job lifecycle", () => {
    describe("submission", () => {
        it("treats a repeated id from the same account as the same job", () => {
            const state = buildTestFleet(1, capacity);
            expect(addTestJob(state, "a", [buildTestStep()])).toBe(SubmitJobOutcome.Accepted);
            expect(addTestJob(state, "a", [buildTestStep()])).toBe(SubmitJobOutcome.AlreadyAccepted);
            expect(state.fleet.jobs.size).toBe(1);
        });

        it("refuses an id that belongs to a job of another account", () => {
            const state = buildTestFleet(1, capacity);
            addTestJob(state, "a", [buildTestStep()]);
            const request = { spec: "", steps: [buildTestStep()], times: 0, startAtMs: 0, intervalMs: 0 };
            const command = { kind: CommandKind.SubmitJob as const, id: "a", queue: "q-web", request, atMs: 0 };
            expect(applySubmitJob(state, { ...command, account: "other" })).toBe(SubmitJobOutcome.IdInUse);
        });
    });

    describe("the phase of a job", () => {
        const readPhase = (state: ControlState) => state.fleet.jobs.get("a")?.phase;

        // A job whose starts its target refused counted as begun, and was missing among those that wait.
        it("is queued while its starts are recorded, refused, stopped or lost before a target has confirmed one", () => {
            const state = buildTestFleet(2, capacity);
            addTestJob(state, "a", [buildTestStep()]);
            const outcomes = [
                RunOutcome.Rejected,
                RunOutcome.Stopped,
                RunOutcome.LeaseExpired,
                RunOutcome.TargetGone,
            ];
            outcomes.forEach((how, index) => {
                addStart(state, "a.0.0.0", index + 1);
                expect(readPhase(state)).toBe(JobPhase.Queued);
                addEnd(state, "a.0.0.0", how, index + 1);
                expect(readPhase(state)).toBe(JobPhase.Queued);
            });
        });

        it("is running once a target has confirmed a start, also after that run is lost, and in a snapshot", () => {
            const state = buildTestFleet(2, capacity);
            addTestJob(state, "a", [buildTestStep()]);
            addStart(state, "a.0.0.0");
            applyRecordStarts(state, { kind: CommandKind.RecordStarts, starts: [], begunJobs: ["a", "unknown"] });
            expect(readPhase(state)).toBe(JobPhase.Running);
            addEnd(state, "a.0.0.0", RunOutcome.LeaseExpired);
            expect(readPhase(state)).toBe(JobPhase.Running);
            expect(readPhase(decodeControlState(encodeControlState(state)))).toBe(JobPhase.Running);
        });

        it.each([RunOutcome.Failed, RunOutcome.GangMemberEnded, RunOutcome.GangIncomplete])(
            "is running after an end that only a run can have that has begun (%s)",
            how => {
                const state = buildTestFleet(2, capacity);
                addTestJob(state, "a", [buildTestStep()]);
                addStart(state, "a.0.0.0");
                addEnd(state, "a.0.0.0", how);
                expect(readPhase(state)).toBe(JobPhase.Running);
            },
        );

        it("stays as it is once the job has ended", () => {
            const state = buildTestFleet(2, capacity);
            addTestJob(state, "a", [buildTestStep()]);
            applyCancelJob(state, { kind: CommandKind.CancelJob, id: "a", atMs: 0 });
            applyRecordStarts(state, { kind: CommandKind.RecordStarts, starts: [], begunJobs: ["a"] });
            expect(readPhase(state)).toBe(JobPhase.Cancelled);
        });
    });

    describe("starts of tasks", () => {
        it("starts a step only after the steps before it are done", () => {
            const state = buildTestFleet(1, capacity);
            addTestJob(state, "a", [buildTestStep(), buildTestStep({ after: [0] })]);
            expect(addStart(state, "a.0.1.0")).toBe(false);
            addStart(state, "a.0.0.0");
            expect(addStart(state, "a.0.1.0")).toBe(false);
            addEnd(state, "a.0.0.0", RunOutcome.Done);
            expect(addStart(state, "a.0.1.0")).toBe(true);
        });

        it("never records two runs of one task at a time, nor a run number twice", () => {
            const state = buildTestFleet(2, capacity);
            addTestJob(state, "a", [buildTestStep()]);
            expect(addStart(state, "a.0.0.0", 1, "t0")).toBe(true);
            expect(addStart(state, "a.0.0.0", 2, "t1")).toBe(false);
            addEnd(state, "a.0.0.0", RunOutcome.LeaseExpired);
            expect(addStart(state, "a.0.0.0", 1, "t1")).toBe(false);
            expect(addStart(state, "a.0.0.0", 2, "t1")).toBe(true);
        });

        it("applies the resource limit of an account to all tasks that may be running", () => {
            const state = buildTestFleet(2, capacity, { cpu: 2_500, memory: 0, gpu: 0 });
            addTestJob(state, "a", [buildTestStep({ count: 4 })]);
            expect(addStart(state, "a.0.0.0", 1, "t0")).toBe(true);
            expect(addStart(state, "a.0.0.1", 1, "t1")).toBe(true);
            expect(addStart(state, "a.0.0.2", 1, "t1")).toBe(false);
            addEnd(state, "a.0.0.0", RunOutcome.Done);
            expect(addStart(state, "a.0.0.2", 1, "t1")).toBe(true);
        });

        it("does not start tasks of a cancelled job", () => {
            const state = buildTestFleet(1, capacity);
            addTestJob(state, "a", [buildTestStep()]);
            applyCancelJob(state, { kind: CommandKind.CancelJob, id: "a", atMs: 1 });
            expect(addStart(state, "a.0.0.0")).toBe(false);
            expect(state.fleet.jobs.get("a")?.phase).toBe(JobPhase.Cancelled);
        });
    });

    describe("ends of runs", () => {
        it("complete a job when, and only when, every task is done", () => {
            const state = buildTestFleet(1, capacity);
            addTestJob(state, "a", [buildTestStep({ count: 2 })]);
            addStart(state, "a.0.0.0");
            addStart(state, "a.0.0.1");
            addEnd(state, "a.0.0.0", RunOutcome.Done);
            expect(state.fleet.jobs.get("a")?.phase).toBe(JobPhase.Running);
            addEnd(state, "a.0.0.1", RunOutcome.Done);
            expect(state.fleet.jobs.get("a")?.phase).toBe(JobPhase.Completed);
            expect(state.fleet.targetLoads.size).toBe(0);
        });

        it("fail a job after as many failed runs as the queue allows, not counting other outcomes", () => {
            const state = buildTestFleet(1, capacity);
            addTestJob(state, "a", [buildTestStep()]);
            [RunOutcome.LeaseExpired, RunOutcome.Failed, RunOutcome.Stopped].forEach((how, index) => {
                addStart(state, "a.0.0.0", index + 1);
                addEnd(state, "a.0.0.0", how, index + 1);
            });
            expect(state.fleet.jobs.get("a")?.phase).toBe(JobPhase.Running);
            addStart(state, "a.0.0.0", 4);
            addEnd(state, "a.0.0.0", RunOutcome.Failed, 4);
            expect(state.fleet.jobs.get("a")?.phase).toBe(JobPhase.Failed);
        });

        it("are ignored for a run that a newer run has replaced", () => {
            const state = buildTestFleet(2, capacity);
            addTestJob(state, "a", [buildTestStep()]);
            addStart(state, "a.0.0.0", 1, "t0");
            addEnd(state, "a.0.0.0", RunOutcome.LeaseExpired, 1, "t0");
            addStart(state, "a.0.0.0", 2, "t1");
            expect(addEnd(state, "a.0.0.0", RunOutcome.Done, 1, "t0")).toBe(false);
            expect(state.fleet.jobs.get("a")?.phase).toBe(JobPhase.Queued);
        });

        it("return long-running tasks to waiting, whatever the outcome", () => {
            const state = buildTestFleet(1, capacity);
            addTestJob(state, "a", [buildTestStep({ isLongRunning: true })]);
            [RunOutcome.Done, RunOutcome.Failed, RunOutcome.Failed, RunOutcome.Failed].forEach((how, index) => {
                expect(addStart(state, "a.0.0.0", index + 1)).toBe(true);
                addEnd(state, "a.0.0.0", how, index + 1);
            });
            expect(state.fleet.jobs.get("a")?.phase).toBe(JobPhase.Running);
        });

        it("complete the whole gang when one member is done", () => {
            const state = buildTestFleet(2, capacity);
            addTestJob(state, "a", [buildTestStep({ count: 2, isGang: true })]);
            addStart(state, "a.0.0.0", 1, "t0");
            addStart(state, "a.0.0.1", 1, "t1");
            addEnd(state, "a.0.0.0", RunOutcome.Done, 1, "t0");
            expect(state.fleet.jobs.get("a")?.phase).toBe(JobPhase.Completed);
            expect(state.fleet.targetLoads.size).toBe(0);
        });
    });

    describe("retention", () => {
        it("restores from a snapshot the loads of tasks that may be running", () => {
            const state = buildTestFleet(1, capacity);
            addTestJob(state, "a", [buildTestStep({ count: 2 })]);
            addStart(state, "a.0.0.0");
            const restored = decodeControlState(encodeControlState(state));
            expect(restored.fleet.targetLoads).toEqual(state.fleet.targetLoads);
            expect(restored.fleet.accountLoads).toEqual(state.fleet.accountLoads);
            expect(restored.fleet.activeJobs).toEqual(state.fleet.activeJobs);
            expect(addEnd(restored, "a.0.0.0", RunOutcome.Done)).toBe(true);
        });

        it("deletes a finished job after its retention time, but not while one of its tasks may be running", () => {
            const state = buildTestFleet(1, capacity);
            addTestJob(state, "a", [buildTestStep()]);
            addStart(state, "a.0.0.0");
            applyCancelJob(state, { kind: CommandKind.CancelJob, id: "a", atMs: 10 });
            const drop = (endedBeforeMs: number) => applyDropJobs(state, { kind: CommandKind.DropJobs, endedBeforeMs });
            expect(drop(100)).toBe(0);
            addEnd(state, "a.0.0.0", RunOutcome.Stopped);
            expect(drop(10)).toBe(0);
            expect(drop(100)).toBe(1);
        });
    });
});
