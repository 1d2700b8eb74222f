import { describe, expect, it } from "@jest/globals";

import { CommandKind } from "../control/command-kind.js";
import type { ControlState } from "../control/control-state.js";
import { applyRecordStarts } from "../jobs/apply-record-starts.js";
import { TaskPhase } from "../jobs/task-phase.js";
import { applyRecordMove } from "../pools/apply-record-move.js";
import { addTestJob } from "../testing/add-test-job.js";
import { buildTestFleet } from "../testing/build-test-fleet.js";
import { buildTestStep } from "../testing/build-test-step.js";
import { applyRecordTarget } from "./apply-record-target.js";
import { ReportedTargetState } from "./reported-target-state.js";
import { StallDetector } from "./stall-detector.js";
import { TargetCircuitBreaker } from "./target-circuit-breaker.js";
import type { TargetRecord } from "./target-record.js";

const capacity = { cpu: 4_000, memory: 1_000, gpu: 0 };

function buildRunning(): ControlState {
    const state = buildTestFleet(1, capacity);
    addTestJob(state, "a", [buildTestStep()]);
    const starts = [{ task: "a.0.0.0", run: 1, target: "t0" }];
    applyRecordStarts(state, { kind: CommandKind.RecordStarts, starts });
    return state;
}

function record(state: ControlState, fields: Partial<TargetRecord>): boolean {
    const current = state.fleet.targets.get("t0");
    if (current === undefined) {
        throw new TypeError("the fleet has no target t0");
    }
    return applyRecordTarget(state, { kind: CommandKind.RecordTarget, record: { ...current, ...fields } }).isNewest;
}

function readPhase(state: ControlState): TaskPhase | undefined {
    return state.fleet.jobs.get("a")?.occurrences.get(0)?.[0]?.tasks[0]?.phase;
}

describe("targets", () => {
    describe("incarnations", () => {
        it("keeps the tasks of an incarnation that is replaced under its id, as their starts may reach the new one", () => {
            const restarted = buildRunning();
            expect(record(restarted, { incarnation: 2 })).toBe(true);
            expect(restarted.fleet.targets.get("t0")?.incarnation).toBe(2);
            expect(readPhase(restarted)).toBe(TaskPhase.Placed);
            expect(restarted.fleet.targetLoads.get("t0")?.runs.size).toBe(1);
        });

        it("releases the tasks of an incarnation that is replaced by one of another pool or at its address", () => {
            const moved = buildRunning();
            record(moved, { incarnation: 2, pool: "batch" });
            expect(readPhase(moved)).toBe(TaskPhase.Waiting);
            const reused = buildRunning();
            record(reused, { id: "new", incarnation: 2 });
            expect(readPhase(reused)).toBe(TaskPhase.Waiting);
            expect(reused.fleet.targets.has("t0")).toBe(false);
        });

        it("ignores a delayed report of an older incarnation, and of an older target at a reused address", () => {
            const state = buildRunning();
            expect(record(state, { incarnation: 0 })).toBe(false);
            expect(record(state, { id: "old", incarnation: 0 })).toBe(false);
            expect(readPhase(state)).toBe(TaskPhase.Placed);
        });

        it("never sets a draining incarnation back to ready", () => {
            const state = buildRunning();
            record(state, { state: ReportedTargetState.Draining });
            record(state, { state: ReportedTargetState.Ready });
            expect(state.fleet.targets.get("t0")?.state).toBe(ReportedTargetState.Draining);
        });

        it("refuses to move a VM on which a task may be running", () => {
            const state = buildRunning();
            const request = { token: 3, holder: "core-1", atMs: 0 };
            const move = { kind: CommandKind.RecordMove as const, vm: "vm0", from: "web", to: "off", ...request };
            expect(applyRecordMove(state, move)).toBe(false);
            expect(applyRecordMove(buildTestFleet(1, capacity), move)).toBe(true);
        });
    });

    describe("health", () => {
        it("ejects a target that fails different jobs in a row, then allows one task at a time", () => {
            const breaker = new TargetCircuitBreaker();
            expect([breaker.recordFailure("a", 0), breaker.recordFailure("a", 0), breaker.recordFailure("b", 0)])
                .toEqual([false, false, false]);
            expect(breaker.recordFailure("c", 0)).toBe(true);
            expect(breaker.countStartsLeft(0, 1_000)).toBe(0);
            expect(breaker.countStartsLeft(0, 2_000)).toBe(1);
            expect(breaker.countStartsLeft(1, 2_000)).toBe(0);
            breaker.recordSuccess();
            expect(breaker.countStartsLeft(5, 2_000)).toBe(Number.POSITIVE_INFINITY);
        });

        it("does not eject a target because of one job that always fails", () => {
            const breaker = new TargetCircuitBreaker();
            for (let run = 0; run < 20; run++) {
                expect(breaker.recordFailure("poison", run)).toBe(false);
            }
        });

        it("detects tasks that make no progress", () => {
            const detector = new StallDetector();
            expect(detector.checkStalled("a", 1, 10, 0)).toBe(false);
            expect(detector.checkStalled("a", 1, 10, 1_000)).toBe(false);
            expect(detector.checkStalled("a", 1, 11, 1_500)).toBe(false);
            expect(detector.checkStalled("a", 1, 11, 3_200)).toBe(true);
            expect(detector.checkStalled("a", 2, 11, 3_300)).toBe(false);
        });
    });
});
