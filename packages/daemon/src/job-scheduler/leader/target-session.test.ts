import { applyCommand } from "@daisylock/core/control/apply-command.js";
import { CommandKind } from "@daisylock/core/control/command-kind.js";
import type { ControlCommand } from "@daisylock/core/control/control-command.js";
import { JobPhase } from "@daisylock/core/jobs/job-phase.js";
import { RunOutcome } from "@daisylock/core/jobs/run-outcome.js";
import { TaskPhase } from "@daisylock/core/jobs/task-phase.js";
import { addTestJob } from "@daisylock/core/testing/add-test-job.js";
import { buildTestFleet } from "@daisylock/core/testing/build-test-fleet.js";
import { buildTestStep } from "@daisylock/core/testing/build-test-step.js";
import { describe, expect, it } from "@jest/globals";

import { TargetRequestResult } from "../targets/target-request-result.js";
import { FakeTargetClient } from "../testing/fake-target-client.js";
import { ManualClock } from "../testing/manual-clock.js";
import type { SessionDependencies } from "./session-dependencies.js";
import { TargetSession } from "./target-session.js";

const task = "a.0.0.0";
const clockOffsetMs = 500_000;
const maxLeaseMs = 6_000;
/** Time until the requested lease expires on a target with the slowest clock that the platform allows. */
const leaseExpiryMs = maxLeaseMs * 0.75 / 0.98;

function buildSession(options: { startedAt?: number; oldReportClockMs?: number } = {}) {
    const clock = new ManualClock();
    const client = new FakeTargetClient(clock, clockOffsetMs);
    const state = buildTestFleet(1, { cpu: 4_000, memory: 1_000, gpu: 0 });
    addTestJob(state, "a", [buildTestStep()]);
    const commands: ControlCommand[] = [];
    let isCommitting = true;
    const record = state.fleet.targets.get("t0");
    if (record === undefined) {
        throw new TypeError("the test fleet has no target");
    }
    const sessions: TargetSession[] = [];
    const durations: (number | undefined)[] = [];
    const dependencies: SessionDependencies = {
        leadership: {
            isActive: () => true,
            readFleet: () => state.fleet,
            readStartedAt: () => options.startedAt ?? 0,
            recordCommand: async command => {
                commands.push(command);
                return isCommitting ? applyCommand(state, command) : undefined;
            },
        },
        client,
        reports: {
            findReport: () =>
                options.oldReportClockMs === undefined
                    ? {
                        incarnation: 1,
                        sequence: 1,
                        at: clock.readMonotonic(),
                        clockMs: clock.readMonotonic() + clockOffsetMs,
                    }
                    : { incarnation: 1, sequence: 1, at: 0, clockMs: options.oldReportClockMs },
        },
        clock,
        log: { record: () => undefined },
        maxLeaseMs,
        isTargetGone: () => false,
        mayEjectSlow: () => true,
        estimateTask: () => 500,
        findTicket: () => "",
        handleRejectedTicket: () => undefined,
        handleUnansweredRequest: () => void sessions.forEach(session => void session.checkReachable()),
        startScheduling: () => undefined,
        handleRunEnd: (_task, _how, durationMs) => void durations.push(durationMs),
    };
    const recordStart = () =>
        applyCommand(state, { kind: CommandKind.RecordStarts, starts: [{ task, run: 1, target: "t0" }] });
    return {
        clock,
        client,
        commands,
        durations,
        recordStart,
        openSession: () => {
            const session = new TargetSession(record, 3, dependencies);
            sessions.push(session);
            return session;
        },
        setCommitting: (value: boolean) => {
            isCommitting = value;
        },
        readJob: () => state.fleet.jobs.get("a")?.phase,
        readPhase: () => state.fleet.jobs.get("a")?.occurrences[0]?.[0]?.tasks[0]?.phase,
    };
}

describe("TargetSession", () => {
    describe("leases", () => {
        it("lets the lease of an unresponsive target expire, as unanswered probes grant no lease", async () => {
            const test = buildSession();
            const session = test.openSession();
            await test.clock.runFor(200);
            test.recordStart();
            session.startTask(task, 1);
            await test.clock.runFor(1_500);
            test.client.isAnswering = false;
            await test.clock.runFor(2_000);
            const probes = test.client.renewals.slice(-2);
            expect(probes.every(({ leaseUntilMs }) => leaseUntilMs === undefined)).toBe(true);
            expect(test.readPhase()).toBe(TaskPhase.Placed);
            await test.clock.runFor(leaseExpiryMs + 1_000);
            expect(test.readPhase()).toBe(TaskPhase.Waiting);
            session.close();
        });

        it("waits for the expiry of an earlier leader's lease, whatever old heartbeat is recorded", async () => {
            const test = buildSession({ startedAt: 10_000, oldReportClockMs: clockOffsetMs });
            test.recordStart();
            test.client.isAnswering = false;
            test.client.unansweredResult = TargetRequestResult.NotSent;
            await test.clock.runFor(10_000);
            const session = test.openSession();
            await test.clock.runFor(leaseExpiryMs - 500);
            expect(test.readPhase()).toBe(TaskPhase.Placed);
            await test.clock.runFor(2_000);
            expect(test.readPhase()).toBe(TaskPhase.Waiting);
            session.close();
        });
    });

    describe("ends", () => {
        it("tells the target to discard an ended run only once the end is committed", async () => {
            const test = buildSession();
            const session = test.openSession();
            await test.clock.runFor(200);
            test.recordStart();
            session.startTask(task, 1);
            await test.clock.runFor(100);
            test.setCommitting(false);
            test.client.running.length = 0;
            test.client.ended.push({ number: 1, task, run: 1, how: RunOutcome.Done, saved: "" });
            await test.clock.runFor(3_000);
            expect(test.client.renewals.every(({ lastSeen }) => lastSeen === 0)).toBe(true);
            test.setCommitting(true);
            await test.clock.runFor(2_500);
            expect(test.readJob()).toBe(JobPhase.Completed);
            session.close();
        });
    });

    describe("durations", () => {
        it("are not measured for a run that an earlier leader started", async () => {
            const test = buildSession();
            test.recordStart();
            test.client.running.push({ task, run: 1, saved: "", percent: 60, load: 0 });
            const session = test.openSession();
            await test.clock.runFor(100);
            test.client.running.length = 0;
            test.client.ended.push({ number: 1, task, run: 1, how: RunOutcome.Done, saved: "" });
            await test.clock.runFor(2_500);
            expect(test.durations).toEqual([undefined]);
            session.close();
        });
    });

    describe("starts", () => {
        it("sends a start that an earlier leader committed again, with its own fencing token", async () => {
            const test = buildSession();
            test.recordStart();
            const session = test.openSession();
            await test.clock.runFor(300);
            expect(test.client.starts).toHaveLength(1);
            expect(test.client.starts[0]).toMatchObject({ task, run: 1, fencingToken: 3 });
            session.close();
        });

        it("releases the task at once when a start was refused or never sent", async () => {
            const test = buildSession();
            const session = test.openSession();
            await test.clock.runFor(200);
            test.client.startResult = TargetRequestResult.InsufficientCapacity;
            test.recordStart();
            session.startTask(task, 1);
            await test.clock.runFor(20);
            expect(test.readPhase()).toBe(TaskPhase.Waiting);
            expect(test.client.stops).toHaveLength(0);
            session.close();
        });

        it("retries to release the task of a refused start when the release could not be committed", async () => {
            const test = buildSession();
            const session = test.openSession();
            await test.clock.runFor(200);
            test.client.startResult = TargetRequestResult.InsufficientCapacity;
            test.recordStart();
            test.setCommitting(false);
            session.startTask(task, 1);
            await test.clock.runFor(500);
            expect(test.readPhase()).toBe(TaskPhase.Placed);
            test.setCommitting(true);
            await test.clock.runFor(500);
            expect(test.readPhase()).toBe(TaskPhase.Waiting);
            session.close();
        });

        it("stops a run whose start may arrive late before it releases the task for another target", async () => {
            const test = buildSession();
            const session = test.openSession();
            await test.clock.runFor(200);
            test.client.startResult = TargetRequestResult.Unanswered;
            test.recordStart();
            session.startTask(task, 1);
            await test.clock.runFor(20);
            test.client.startResult = TargetRequestResult.InsufficientCapacity;
            await test.clock.runFor(60);
            expect(test.readPhase()).toBe(TaskPhase.Placed);
            await test.clock.runFor(3_000);
            expect(test.client.stops).toHaveLength(1);
            expect(test.readPhase()).toBe(TaskPhase.Waiting);
            session.close();
        });

        it("treats a target as unreachable as soon as a start and a reachability check are unanswered", async () => {
            const test = buildSession();
            const session = test.openSession();
            await test.clock.runFor(200);
            test.client.startResult = TargetRequestResult.Unanswered;
            test.client.isAnswering = false;
            test.recordStart();
            session.startTask(task, 1);
            await test.clock.runFor(500);
            expect(test.client.checkCount).toBe(1);
            expect(session.isUsable()).toBe(false);
            expect(test.client.starts).toHaveLength(1);
            session.close();
        });

        it("releases a task at once whose start has not been sent when the target stops responding", async () => {
            const test = buildSession();
            const session = test.openSession();
            await test.clock.runFor(200);
            test.client.isAnswering = false;
            test.client.unansweredResult = TargetRequestResult.NotSent;
            await session.checkReachable();
            test.recordStart();
            session.startTask(task, 1);
            await test.clock.runFor(20);
            expect(test.client.starts).toHaveLength(0);
            expect(test.readPhase()).toBe(TaskPhase.Waiting);
            session.close();
        });

        it("keeps using a target that left one start unanswered but responds to a reachability check", async () => {
            const test = buildSession();
            const session = test.openSession();
            await test.clock.runFor(200);
            test.client.startResult = TargetRequestResult.Unanswered;
            test.recordStart();
            session.startTask(task, 1);
            await test.clock.runFor(20);
            test.client.startResult = TargetRequestResult.Done;
            await test.clock.runFor(600);
            expect(test.client.starts).toHaveLength(2);
            expect(session.isUsable()).toBe(true);
            session.close();
        });

        it("stops a stalled task and ejects the target", async () => {
            const test = buildSession();
            const session = test.openSession();
            await test.clock.runFor(200);
            test.recordStart();
            session.startTask(task, 1);
            await test.clock.runFor(4_000);
            expect(test.client.stops).toHaveLength(1);
            expect(session.countStartsLeft()).toBe(0);
            session.close();
        });
    });
});
