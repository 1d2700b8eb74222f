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

const room = { cpu: 4_000, memory: 1_000, gpu: 0 };

function buildRunning(): ControlState {
    const state = buildTestFleet(1, room);
    addTestJob(state, "a", [buildTestStep()]);
    const starts = [{ task: "a.0.0.0", run: 1, target: "t0" }];
    applyRecordStarts(state, { kind: CommandKind.RecordStarts, starts });
    return state;
}

function record(state: ControlState, fields: Partial<TargetRecord>): boolean {
    const known = state.fleet.targets.get("t0");
    if (known === undefined) {
        throw new TypeError("the target is gone");
    }
    return applyRecordTarget(state, { kind: CommandKind.RecordTarget, record: { ...known, ...fields } });
}

function readPhase(state: ControlState): TaskPhase | undefined {
    return state.fleet.jobs.get("a")?.occurrences[0]?.[0]?.tasks[0]?.phase;
}

describe("targets", () => {
    describe("lives", () => {
        it("frees the tasks of a life that a newer one under the same id or address has replaced", () => {
            const reborn = buildRunning();
            record(reborn, { incarnation: 2 });
            expect(readPhase(reborn)).toBe(TaskPhase.Waiting);
            const reused = buildRunning();
            record(reused, { id: "new", incarnation: 2 });
            expect(readPhase(reused)).toBe(TaskPhase.Waiting);
            expect(reused.fleet.targets.has("t0")).toBe(false);
        });

        it("ignores a delayed report of an older life, and of another one at an address that was reused", () => {
            const state = buildRunning();
            expect(record(state, { incarnation: 0 })).toBe(false);
            expect(record(state, { id: "old", incarnation: 0 })).toBe(false);
            expect(readPhase(state)).toBe(TaskPhase.Placed);
        });

        it("never takes a draining life for ready again", () => {
            const state = buildRunning();
            record(state, { state: ReportedTargetState.Draining });
            record(state, { state: ReportedTargetState.Ready });
            expect(state.fleet.targets.get("t0")?.state).toBe(ReportedTargetState.Draining);
        });

        it("lets no VM go on which something may be running", () => {
            const state = buildRunning();
            const order = { token: 3, holder: "core-1", atMs: 0 };
            const move = { kind: CommandKind.RecordMove as const, vm: "vm0", from: "web", to: "off", ...order };
            expect(applyRecordMove(state, move)).toBe(false);
            expect(applyRecordMove(buildTestFleet(1, room), move)).toBe(true);
        });
    });

    describe("health", () => {
        it("leaves out a target that fails different jobs in a row, then tries it with one task", () => {
            const health = new TargetCircuitBreaker();
            expect([health.recordFailure("a", 0), health.recordFailure("a", 0), health.recordFailure("b", 0)])
                .toEqual([false, false, false]);
            expect(health.recordFailure("c", 0)).toBe(true);
            expect(health.countStartsLeft(0, 1_000)).toBe(0);
            expect(health.countStartsLeft(0, 2_000)).toBe(1);
            expect(health.countStartsLeft(1, 2_000)).toBe(0);
            health.recordSuccess();
            expect(health.countStartsLeft(5, 2_000)).toBe(Number.POSITIVE_INFINITY);
        });

        it("does not blame a target for one job that can't be done", () => {
            const health = new TargetCircuitBreaker();
            for (let run = 0; run < 20; run++) {
                expect(health.recordFailure("poison", run)).toBe(false);
            }
        });

        it("finds tasks that stand still by their progress", () => {
            const watch = new StallDetector();
            expect(watch.checkStalled("a", 1, 10, 0)).toBe(false);
            expect(watch.checkStalled("a", 1, 10, 1_000)).toBe(false);
            expect(watch.checkStalled("a", 1, 11, 1_500)).toBe(false);
            expect(watch.checkStalled("a", 1, 11, 3_200)).toBe(true);
            expect(watch.checkStalled("a", 2, 11, 3_300)).toBe(false);
        });
    });
});
