import { CommandKind } from "@daisylock/core/control/command-kind.js";
import { applyRecordStarts } from "@daisylock/core/jobs/apply-record-starts.js";
import { ReportedTargetState } from "@daisylock/core/targets/reported-target-state.js";
import type { TargetRecord } from "@daisylock/core/targets/target-record.js";
import type { TargetReport } from "@daisylock/core/targets/target-report.js";
import { addTestJob } from "@daisylock/core/testing/add-test-job.js";
import { buildTestFleet } from "@daisylock/core/testing/build-test-fleet.js";
import { buildTestStep } from "@daisylock/core/testing/build-test-step.js";
import { describe, expect, it } from "@jest/globals";
import fc from "fast-check";

import { TargetClock } from "@daisylock/core/targets/target-clock.js";
import { ProposeFailureKind } from "../../request-proxy/keeper/propose-failure-kind.js";
import { FakeKeeper } from "../testing/fake-keeper.js";
import { ManualClock } from "../testing/manual-clock.js";
import { ClaimOutcome } from "./claim-outcome.js";
import { Leadership } from "./leadership.js";
import { TargetReportHandler } from "./target-report-handler.js";

function createFixture({ hasRun = true } = {}) {
    const state = buildTestFleet(1, { cpu: 2_000, memory: 1_000, gpu: 0 });
    addTestJob(state, "a", [buildTestStep()]);
    applyRecordStarts(state, {
        kind: CommandKind.RecordStarts,
        starts: hasRun ? [{ task: "a.0.0.0", run: 1, target: "t0" }] : [],
    });
    const record = state.fleet.targets.get("t0");
    if (record === undefined) {
        throw new TypeError("the test fleet has no target");
    }
    const keeper = new FakeKeeper(state);
    const questions: TargetRecord[] = [];
    const clock = new ManualClock();
    const leavingTargets: string[] = [];
    let answeredClock: TargetClock | undefined;
    let pickOutcome: (claim: TargetRecord) => ClaimOutcome = () => ClaimOutcome.Confirmed;
    const createHandler = () =>
        new TargetReportHandler(
            new Leadership(keeper, 1),
            clock,
            { record: () => undefined },
            () => undefined,
            {
                collectCrashedRuns: () => [],
                findAnsweredClock: () => answeredClock,
                noteLeaving: id => leavingTargets.push(id),
                noteRunEnds: () => undefined,
            },
            {
                readAnswer: async claim => ({ outcome: pickOutcome(claim), clockMs: undefined }),
                verifyClaim: async claim => {
                    questions.push(claim);
                    return { outcome: pickOutcome(claim), clockMs: undefined };
                },
            },
        );
    const buildReport =
        (handler: TargetReportHandler) => (sequence: number, fields: Partial<typeof record> = {}, clockMs?: number) =>
            handler.handleReport({
                record: { ...record, ...fields },
                sequence,
                clockMs,
                remainingMs: undefined,
            });
    const handler = createHandler();
    return {
        state,
        keeper,
        handler,
        record,
        questions,
        leavingTargets,
        leave: (incarnation: number | undefined) => handler.handleLeave({ id: "t0", incarnation }),
        setOutcome: (outcome: ClaimOutcome) => {
            pickOutcome = () => outcome;
        },
        runFor: (ms: number) => clock.runFor(ms),
        /** Lets the target answer the leader with a reading of its clock. */
        setAnsweredClock: (clockMs: number) => {
            answeredClock = new TargetClock();
            answeredClock.noteReading(clockMs, clock.readMonotonic());
            answeredClock.noteAnswer(clockMs, clock.readMonotonic());
        },
        /** Lets one incarnation answer at its address, and nothing anywhere else. */
        setAnswering: (incarnation: number, address = record.address) => {
            pickOutcome = claim => {
                if (claim.address !== address) {
                    return ClaimOutcome.Unanswered;
                }
                return claim.id === record.id && claim.incarnation === incarnation
                    ? ClaimOutcome.Confirmed
                    : ClaimOutcome.Refuted;
            };
        },
        report: buildReport(handler),
        replaceLeader: () => buildReport(createHandler()),
        readRunCount: () => state.fleet.targetLoads.get("t0")?.runs.size,
        readState: () => state.fleet.targets.get("t0")?.state,
        readCapacity: () => state.fleet.targets.get("t0")?.capacity,
    };
}

describe("TargetReportHandler", () => {
    describe("heartbeats", () => {
        it("does not acknowledge a repeated heartbeat whose first commit was refused before it is committed", async () => {
            const { keeper, report, readState } = createFixture();
            keeper.refuseCommand = () => ProposeFailureKind.Busy;
            const draining = { state: ReportedTargetState.Draining };
            expect(await report(5, draining)).toMatchObject({ isLeader: false });
            expect(await report(5, draining)).toMatchObject({ isLeader: false });
            keeper.refuseCommand = () => undefined;
            expect(await report(5, draining)).toEqual({ isLeader: true, value: { isNewest: true } });
            expect(readState()).toBe(ReportedTargetState.Draining);
        });

        it("ignores a heartbeat that a newer one has overtaken", async () => {
            const { report, readState } = createFixture();
            await report(6);
            const draining = { state: ReportedTargetState.Draining };
            expect(await report(5, draining)).toEqual({ isLeader: true, value: { isNewest: false } });
            expect(readState()).toBe(ReportedTargetState.Ready);
        });
    });

    describe("heartbeats that another keeper has collected", () => {
        const draining = { state: ReportedTargetState.Draining };
        const field = fc.constantFrom<Partial<TargetRecord>>(
            {},
            {},
            {},
            draining,
            { capacity: { cpu: 500, memory: 1_000, gpu: 0 } },
            { incarnation: 2 },
            { pool: "batch" },
            { pool: "unknown" },
            { zone: "b" },
            { address: "10.9.9.9:80" },
            { id: "agent-1" },
        );
        const sequences = fc.integer({ min: 1, max: 9 });
        const clocks = fc.constantFrom(undefined, 9_000, 10_000, 10_500, 90_000);
        const collected = fc.array(fc.tuple(field, sequences, clocks), { minLength: 1, maxLength: 6 });

        it("get the replies and change the records that they do one by one", async () => {
            let handledCount = 0;
            const run = async (
                batches: readonly (readonly (readonly [
                    Partial<TargetRecord>,
                    number,
                    number | undefined,
                ])[])[],
            ) => {
                const together = createFixture();
                const single = createFixture();
                for (const fixture of [together, single]) {
                    fixture.setAnswering(1);
                    fixture.setAnsweredClock(10_000);
                }
                for (const batch of batches) {
                    const reports: TargetReport[] = batch.map(([fields, sequence, clockMs]) => ({
                        record: { ...together.record, ...fields },
                        sequence,
                        clockMs,
                        remainingMs: undefined,
                    }));
                    const reply = await together.handler.handleReports({ reports });
                    const replies = reply.isLeader ? reply.value.replies : [];
                    expect(replies).toHaveLength(reports.length);
                    const isHandled = (position: number): boolean => replies[position]?.reply !== undefined;
                    const positions = [...reports.keys()];
                    for (const position of positions.filter(isHandled)) {
                        handledCount += 1;
                        const report = reports[position] as TargetReport;
                        expect(await single.handler.handleReport(report))
                            .toEqual({ isLeader: true, value: replies[position]?.reply });
                    }
                    for (const position of positions.filter(other => !isHandled(other))) {
                        const report = reports[position] as TargetReport;
                        expect(await together.handler.handleReport(report))
                            .toEqual(await single.handler.handleReport(report));
                    }
                    expect(together.state.fleet.targets).toEqual(single.state.fleet.targets);
                    await together.runFor(1_000);
                    await single.runFor(1_000);
                }
                expect(together.questions).toEqual(single.questions);
            };
            await fc.assert(fc.asyncProperty(fc.array(collected, { minLength: 1, maxLength: 6 }), run), {
                numRuns: 200,
            });
            expect(handledCount).toBeGreaterThan(100);
        });

        it("neither wait for a commit or a question nor cause one", async () => {
            const { handler, keeper, questions, record } = createFixture();
            const build = (sequence: number, fields: Partial<TargetRecord>): TargetReport => ({
                record: { ...record, ...fields },
                sequence,
                clockMs: undefined,
                remainingMs: undefined,
            });
            const reports = [build(5, {}), build(6, draining), build(7, { incarnation: 2 }), build(8, {})];
            expect(await handler.handleReports({ reports })).toEqual({
                isLeader: true,
                value: {
                    replies: [
                        { reply: { isNewest: true } },
                        { reply: undefined },
                        { reply: undefined },
                        { reply: { isNewest: true } },
                    ],
                },
            });
            expect([keeper.commands, questions]).toEqual([[], []]);
        });

        it("are not kept from the leader by a malformed one among them", async () => {
            const { handler, record } = createFixture();
            const valid = { record, sequence: 5, clockMs: undefined, remainingMs: undefined };
            const malformed = [undefined, {}, { ...valid, sequence: "6" }, {
                ...valid,
                record: { ...record, id: "\n" },
            }];
            const reports = [...malformed, valid] as TargetReport[];
            const reply = await handler.handleReports({ reports });
            expect(reply.isLeader && reply.value.replies.map(({ reply: one }) => one)).toEqual([
                ...malformed.map(() => undefined),
                { isNewest: true },
            ]);
        });

        it("are not handled by a process that does not lead", async () => {
            const { handler, keeper, record } = createFixture();
            keeper.isLeaseValid = false;
            const reports = [{ record, sequence: 5, clockMs: undefined, remainingMs: undefined }];
            expect(await handler.handleReports({ reports })).toMatchObject({ isLeader: false, mayHaveRun: false });
        });
    });

    describe("heartbeats of untrusted senders", () => {
        // Guards against a task that is started again while it runs on a target whose address such a heartbeat names.
        it("replace no target if they name a pool that no configuration has", async () => {
            const { state, report } = createFixture();
            const foreign = { id: "agent-1", pool: "unknown", incarnation: 7 };
            expect(await report(5, foreign)).toEqual({ isLeader: true, value: { isNewest: false } });
            expect([...state.fleet.targets.keys()]).toEqual(["t0"]);
        });

        // Guards against tasks that are started again while they run on the target that is displaced.
        it("displace no target that answers", async () => {
            const { state, report, setAnswering, readRunCount } = createFixture();
            setAnswering(1);
            const isOutdated = { isLeader: true, value: { isNewest: false } };
            const farFuture = 4_000_000_000_000;
            expect(await report(5, { incarnation: farFuture })).toEqual(isOutdated);
            expect(await report(5, { incarnation: farFuture, pool: "batch" })).toEqual(isOutdated);
            expect(await report(5, { id: "agent-1", incarnation: 7 })).toEqual(isOutdated);
            expect(await report(5, { address: "10.9.9.9:80" })).toEqual(isOutdated);
            expect([...state.fleet.targets]).toMatchObject([["t0", { incarnation: 1, address: "10.0.0.1:80" }]]);
            expect(readRunCount()).toBe(1);
            expect(await report(6)).toEqual({ isLeader: true, value: { isNewest: true } });
        });

        it("record no target that does not answer, so that it counts as no capacity", async () => {
            const { state, report, setAnswering } = createFixture();
            setAnswering(1);
            expect(await report(5, { id: "agent-1", address: "10.9.9.9:80" })).toMatchObject({
                value: { isNewest: false },
            });
            expect([...state.fleet.targets.keys()]).toEqual(["t0"]);
        });

        it("that are on disk do not keep the target out: its answer counts more than a later incarnation", async () => {
            const { state, report, setAnswering, readRunCount } = createFixture();
            const recorded = state.fleet.targets.get("t0");
            if (recorded !== undefined) {
                state.fleet.targets.set("t0", { ...recorded, incarnation: 1e300, reportSequence: 2 ** 53 - 1 });
            }
            setAnswering(1);
            expect(await report(5)).toEqual({ isLeader: true, value: { isNewest: true } });
            expect(state.fleet.targets.get("t0")).toMatchObject({ incarnation: 1, reportSequence: 5 });
            expect(readRunCount()).toBe(1);
        });

        it("with a number that no later one passes do not make the target's own outdated", async () => {
            const { report, runFor, setAnsweredClock, readCapacity } = createFixture();
            const last = 2 ** 53 - 1;
            const foreign = { capacity: { cpu: 1, memory: 1, gpu: 0 } };
            setAnsweredClock(10_000);
            await report(5, {}, 10_000);
            expect(await report(last, foreign, 482_113)).toMatchObject({ value: { isNewest: false } });
            expect(await report(last, foreign)).toMatchObject({ value: { isNewest: false } });
            expect(await report(last, foreign, 9_000)).toMatchObject({ value: { isNewest: false } });
            expect(await report(last, foreign, 10_500)).toMatchObject({ value: { isNewest: true } });
            await runFor(1_000);
            expect(await report(6, {}, 11_000)).toMatchObject({ value: { isNewest: true } });
            expect(readCapacity()).toEqual({ cpu: 2_000, memory: 1_000, gpu: 0 });
        });

        it("that are on disk with such a number do not make the target's own outdated", async () => {
            const { state, report, setAnsweredClock, readCapacity } = createFixture();
            const recorded = state.fleet.targets.get("t0");
            if (recorded !== undefined) {
                const capacity = { cpu: 1, memory: 1, gpu: 0 };
                state.fleet.targets.set("t0", { ...recorded, capacity, reportSequence: 2 ** 53 - 1 });
            }
            setAnsweredClock(10_000);
            expect(await report(6, {}, 10_000)).toMatchObject({ value: { isNewest: true } });
            expect(readCapacity()).toEqual({ cpu: 2_000, memory: 1_000, gpu: 0 });
        });

        it("do not make a target drain that says later that it is ready", async () => {
            const { report, runFor, setAnsweredClock, readState } = createFixture();
            setAnsweredClock(10_000);
            await report(5, {}, 10_000);
            await report(9, { state: ReportedTargetState.Draining }, 10_500);
            await runFor(1_000);
            await report(6, {}, 11_000);
            expect(readState()).toBe(ReportedTargetState.Ready);
        });

        it("move no target to another pool, VM, zone or kind while its own go on", async () => {
            const { state, report, runFor } = createFixture();
            const changes = [{ pool: "batch" }, { vm: "vm9" }, { zone: "b" }, { labels: ["b", "r9"], rack: "r9" }];
            let sequence = 5;
            for (const fields of changes) {
                await report(sequence++);
                await runFor(1_000);
                expect(await report(sequence++, fields)).toMatchObject({ value: { isNewest: false } });
            }
            expect(state.fleet.targets.get("t0")).toMatchObject({ pool: "web", vm: "vm0", zone: "a", rack: "r0" });
        });

        // Guards against tasks that are started again while they run at another address than the one on disk.
        it("that are on disk with the address of another target do not end runs before their lease expires", async () => {
            const { state, report, setAnsweredClock, readRunCount } = createFixture();
            const other = { id: "t9", incarnation: 7 };
            expect(await report(5, other)).toMatchObject({ value: { isNewest: false } });
            expect(readRunCount()).toBe(1);
            setAnsweredClock(10_000);
            expect(await report(5, other)).toMatchObject({ value: { isNewest: true } });
            expect([...state.fleet.targets.keys()]).toEqual(["t9"]);
        });

        it("replace one whose address was verified at once, also under a leader that it has not answered", async () => {
            const { state, report } = createFixture();
            const recorded = state.fleet.targets.get("t0");
            if (recorded !== undefined) {
                state.fleet.targets.set("t0", { ...recorded, reportClockMs: 1 });
            }
            expect(await report(5, { id: "t9", incarnation: 7 })).toMatchObject({ value: { isNewest: true } });
            expect([...state.fleet.targets.keys()]).toEqual(["t9"]);
        });

        it("that are on disk do not bind the target to another zone", async () => {
            const { state, report, runFor } = createFixture();
            const recorded = state.fleet.targets.get("t0");
            if (recorded !== undefined) {
                state.fleet.targets.set("t0", { ...recorded, zone: "b" });
            }
            await runFor(4_000);
            expect(await report(6)).toMatchObject({ value: { isNewest: true } });
            expect(state.fleet.targets.get("t0")?.zone).toBe("a");
        });

        it("cost the recorded target no question with each heartbeat", async () => {
            const { report, questions } = createFixture();
            await report(5);
            await report(6, { state: ReportedTargetState.Draining });
            expect(questions).toEqual([]);
        });

        // A drain that is not believed was acknowledged, after which tasks were started on a target that was to leave.
        it("are not acknowledged while they say that a known target drains and are not believed", async () => {
            const { report, setAnsweredClock, setOutcome } = createFixture();
            const refused = { isLeader: true, value: { isNewest: false, isRepeatNeeded: true } };
            const draining = { state: ReportedTargetState.Draining };
            setAnsweredClock(10_000);
            expect(await report(5, draining, 20_000)).toEqual(refused);
            setOutcome(ClaimOutcome.Unanswered);
            expect(await report(5, { ...draining, incarnation: 9 })).toEqual(refused);
            expect(await report(5, { ...draining, id: "unknown", address: "10.0.0.77:80" }))
                .toEqual({ isLeader: true, value: { isNewest: false } });
        });

        it("are told from those of a target whose pool the configuration no longer has", async () => {
            const { state, report, readState } = createFixture();
            const { configuration } = state.fleet;
            state.fleet.configuration = configuration === undefined ? undefined : { ...configuration, pools: [] };
            expect(await report(5, { state: ReportedTargetState.Draining })).toMatchObject({
                value: { isNewest: true },
            });
            expect(readState()).toBe(ReportedTargetState.Draining);
        });
    });

    describe("heartbeats with the target's clock", () => {
        it("do not make a draining target ready again if they are delayed, also until the next leader", async () => {
            const { report, replaceLeader, runFor, setAnsweredClock, readState } = createFixture();
            setAnsweredClock(10_000);
            await runFor(1_000);
            await report(6, { state: ReportedTargetState.Draining }, 11_000);
            await report(5, {}, 10_900);
            expect(await replaceLeader()(5, {}, 10_900)).toMatchObject({ value: { isNewest: false } });
            expect(readState()).toBe(ReportedTargetState.Draining);
        });
    });

    describe("a capacity that shrinks and grows", () => {
        const full = { cpu: 2_000, memory: 1_000, gpu: 0 };
        const shrunk = { cpu: 500, memory: 1_000, gpu: 0 };

        it("is in force with the newest heartbeat", async () => {
            const { report, readCapacity } = createFixture();
            await report(5, { capacity: shrunk });
            expect(readCapacity()).toEqual(shrunk);
            await report(6, { capacity: full });
            expect(readCapacity()).toEqual(full);
        });

        it("is not undone by a delayed heartbeat that reaches the next leader first", async () => {
            const { report, readCapacity, replaceLeader } = createFixture();
            await report(4, { capacity: full });
            await report(5, { capacity: shrunk });
            const successor = replaceLeader();
            expect(await successor(4, { capacity: full })).toEqual({ isLeader: true, value: { isNewest: false } });
            expect(readCapacity()).toEqual(shrunk);
            await successor(6, { capacity: full });
            expect(readCapacity()).toEqual(full);
        });
    });

    describe("announcements to leave", () => {
        it("does not restart the tasks of a newer incarnation on a delayed announcement of the earlier one", async () => {
            const { handler, report, readState } = createFixture();
            await report(1, { incarnation: 2 });
            const isUnknown = { isLeader: true, value: { isKnown: false } };
            expect(await handler.handleLeave({ id: "t0", incarnation: 1 })).toEqual(isUnknown);
            expect(await handler.handleLeave({ id: "t0", incarnation: undefined })).toEqual(isUnknown);
            expect(readState()).toBe(ReportedTargetState.Ready);
        });

        it("removes the announced incarnation, or one that drains if the announcement names none", async () => {
            const named = createFixture({ hasRun: false });
            named.setOutcome(ClaimOutcome.Unreachable);
            expect(await named.leave(1)).toEqual({ isLeader: true, value: { isKnown: true } });
            expect(named.readState()).toBeUndefined();
            const draining = createFixture();
            await draining.report(1, { state: ReportedTargetState.Draining });
            draining.setOutcome(ClaimOutcome.Unreachable);
            await draining.leave(undefined);
            expect(draining.readState()).toBeUndefined();
        });

        // Guards against tasks that are started again while they run, on the word of an untrusted sender.
        it("does not remove a target that goes on answering", async () => {
            const { leave, leavingTargets, report, readState, readRunCount } = createFixture();
            const isUnknown = { isLeader: true, value: { isKnown: false } };
            expect(await leave(1)).toEqual(isUnknown);
            await report(1, { state: ReportedTargetState.Draining });
            expect(await leave(undefined)).toEqual(isUnknown);
            expect(readState()).toBe(ReportedTargetState.Draining);
            expect(readRunCount()).toBe(1);
            expect(leavingTargets).toEqual(["t0", "t0"]);
        });

        it("leaves the runs of a target that may be cut off until its lease expires", async () => {
            const { leave, readRunCount, setOutcome } = createFixture();
            // Its address was recorded without a question, so that another target may answer there.
            for (const outcome of [ClaimOutcome.Unanswered, ClaimOutcome.Unreachable, ClaimOutcome.Refuted]) {
                setOutcome(outcome);
                expect(await leave(1)).toEqual({ isLeader: true, value: { isKnown: false } });
                expect(readRunCount()).toBe(1);
            }
        });
    });
});
