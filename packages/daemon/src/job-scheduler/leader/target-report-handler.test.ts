import { ReportedTargetState } from "@daisylock/core/targets/reported-target-state.js";
import { addTestJob } from "@daisylock/core/testing/add-test-job.js";
import { buildTestFleet } from "@daisylock/core/testing/build-test-fleet.js";
import { buildTestStep } from "@daisylock/core/testing/build-test-step.js";
import { describe, expect, it } from "@jest/globals";

import { ProposeFailureKind } from "../../request-proxy/keeper/propose-failure-kind.js";
import { FakeKeeper } from "../testing/fake-keeper.js";
import { ManualClock } from "../testing/manual-clock.js";
import { Leadership } from "./leadership.js";
import { TargetReportHandler } from "./target-report-handler.js";

function createFixture() {
    const state = buildTestFleet(1, { cpu: 2_000, memory: 1_000, gpu: 0 });
    addTestJob(state, "a", [buildTestStep()]);
    const record = state.fleet.targets.get("t0");
    if (record === undefined) {
        throw new TypeError("the test fleet has no target");
    }
    const keeper = new FakeKeeper(state);
    const createHandler = () =>
        new TargetReportHandler(
            new Leadership(keeper, 1),
            new ManualClock(),
            { record: () => undefined },
            () => undefined,
            { collectCrashedRuns: () => [], noteRunEnds: () => undefined },
        );
    const buildReport = (handler: TargetReportHandler) => (sequence: number, fields: Partial<typeof record> = {}) =>
        handler.handleReport({
            record: { ...record, ...fields },
            sequence,
            clockMs: undefined,
            remainingMs: undefined,
        });
    const handler = createHandler();
    return {
        state,
        keeper,
        handler,
        report: buildReport(handler),
        replaceLeader: () => buildReport(createHandler()),
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

    describe("heartbeats of other writers", () => {
        // Guards against a task that is started again while it runs on a target whose address such a heartbeat names.
        it("replace no target if they name a pool that no configuration has", async () => {
            const { state, report } = createFixture();
            const foreign = { id: "agent-1", pool: "unknown", incarnation: 7 };
            expect(await report(5, foreign)).toEqual({ isLeader: true, value: { isNewest: false } });
            expect([...state.fleet.targets.keys()]).toEqual(["t0"]);
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
            const named = createFixture();
            await named.handler.handleLeave({ id: "t0", incarnation: 1 });
            expect(named.readState()).toBeUndefined();
            const draining = createFixture();
            await draining.report(1, { state: ReportedTargetState.Draining });
            await draining.handler.handleLeave({ id: "t0", incarnation: undefined });
            expect(draining.readState()).toBeUndefined();
        });
    });
});
