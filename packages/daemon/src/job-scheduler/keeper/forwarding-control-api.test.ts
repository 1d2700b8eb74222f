import { ReportedTargetState } from "@daisylock/core/targets/reported-target-state.js";
import type { TargetRecord } from "@daisylock/core/targets/target-record.js";
import type { TargetReport } from "@daisylock/core/targets/target-report.js";
import { buildTestFleet } from "@daisylock/core/testing/build-test-fleet.js";
import { leaderCallSchemas } from "@daisylock/protocol/fleet/leader-call-schemas.js";
import { describe, expect, it } from "@jest/globals";
import Result from "true-myth/result";

import { CallFailureKind } from "../../http-client/call-failure-kind.js";
import type { FleetHandlers } from "../peers/fleet-handlers.js";
import type { LeaderClient } from "../peers/leader-client.js";
import { ManualClock } from "../testing/manual-clock.js";
import { ForwardingControlApi } from "./forwarding-control-api.js";

const targetCount = 378;
const failure = { detail: "", isTimeout: false };

/** A call that was forwarded to the leader. */
interface ForwardedCall {
    readonly name: string;
    readonly request: { readonly reports?: readonly TargetReport[] };
    readonly timeoutMs: number;
}

function createFixture() {
    const clock = new ManualClock();
    const { targets } = buildTestFleet(targetCount, { cpu: 4_000, memory: 1_000, gpu: 0 }).fleet;
    const forwarded: ForwardedCall[] = [];
    const faults: unknown[] = [];
    const notLeader = async () => ({ isLeader: false as const, leader: undefined, mayHaveRun: false });
    const handlers = Object.fromEntries(
        Object.keys(leaderCallSchemas).map(name => [name, notLeader]),
    ) as unknown as FleetHandlers;
    const leader = {
        /** Replies to a call with collected heartbeats. */
        handleReports: (reports: readonly TargetReport[]): Result<unknown, unknown> =>
            Result.ok({ replies: reports.map(({ sequence }) => ({ reply: { isNewest: sequence % 2 === 0 } })) }),
    };
    const leaderClient = {
        send: async (name: string, request: ForwardedCall["request"], timeoutMs: number) => {
            forwarded.push({ name, request, timeoutMs });
            return request.reports === undefined
                ? Result.ok({ isNewest: true })
                : leader.handleReports(request.reports);
        },
    } as unknown as LeaderClient;
    const api = new ForwardingControlApi(handlers, leaderClient, {
        findTarget: id => targets.get(id),
        clock,
        noteFault: fault => faults.push(fault),
    });
    let sequence = 0;
    /** Sends a heartbeat of a target; its fields are those of the record unless others are given. */
    const report = (target: TargetRecord, fields: Partial<TargetRecord> = {}) => {
        sequence += 1;
        return api.send("report", { record: { ...target, ...fields }, sequence, clockMs: 1, remainingMs: undefined });
    };
    const [first, second] = [...targets.values()];
    if (first === undefined || second === undefined) {
        throw new TypeError("the test fleet has no targets");
    }
    return { api, clock, faults, first, forwarded, leader, report, second, targets: [...targets.values()] };
}

describe("ForwardingControlApi", () => {
    // A keeper passed each heartbeat on by a message of its own, 203 a second with 378 targets.
    it("passes heartbeats that change nothing on in one call for each interval, however many targets send them", async () => {
        const { clock, forwarded, report, targets } = createFixture();
        const replies = targets.map(target => report(target));
        await clock.runFor(100);
        expect((await Promise.all(replies)).every(({ isOk }) => isOk)).toBe(true);
        expect(forwarded).toHaveLength(1);
    });

    it("replies to each of them on its own, within the time that its target waits", async () => {
        const { clock, first, forwarded, report, second } = createFixture();
        const replies = [report(first), report(second)];
        await clock.runFor(100);
        expect((await Promise.all(replies)).map(reply => reply.isOk && reply.value)).toEqual([
            { isNewest: false },
            { isNewest: true },
        ]);
        expect(forwarded[0]?.timeoutMs).toBeLessThanOrEqual(850 - 50);
    });

    it.each([
        ["drains", { state: ReportedTargetState.Draining }],
        ["has started again", { incarnation: 2 }],
        ["is new", { id: "t-new" }],
    ])("passes the heartbeat of a target that %s on at once, after those that came before it", async (_, fields) => {
        const { first, forwarded, report, second } = createFixture();
        const earlier = [report(second), report(first)];
        await Promise.resolve();
        const reply = await report(first, fields);
        expect(reply.isOk && reply.value).toEqual({ isNewest: true });
        expect(forwarded.map(({ name }) => name)).toEqual(["reports", "report"]);
        await Promise.all(earlier);
    });

    it("passes those on one by one that the leader leaves out", async () => {
        const { clock, first, forwarded, leader, report, second } = createFixture();
        leader.handleReports = () => Result.ok({ replies: [{}, { reply: { isNewest: false } }] });
        const replies = [report(first), report(second)];
        await clock.runFor(100);
        expect((await Promise.all(replies)).map(reply => reply.isOk && reply.value)).toEqual([
            { isNewest: true },
            { isNewest: false },
        ]);
        expect(forwarded.map(({ name }) => name)).toEqual(["reports", "report"]);
    });

    it("passes all on one by one to a leader of an earlier release, which does not know the call", async () => {
        const { clock, forwarded, leader, report, targets } = createFixture();
        leader.handleReports = () => Result.err({ ...failure, kind: CallFailureKind.Unsupported });
        const replies = targets.map(target => report(target));
        await clock.runFor(100);
        expect((await Promise.all(replies)).every(({ isOk }) => isOk)).toBe(true);
        expect(forwarded.filter(({ name }) => name === "report")).toHaveLength(targetCount);
    });

    it("fails those that the leader does not answer, and leaves none open after a malformed reply", async () => {
        const { clock, faults, first, leader, report } = createFixture();
        leader.handleReports = () => Result.err({ ...failure, kind: CallFailureKind.Unanswered });
        const unanswered = report(first);
        await clock.runFor(100);
        expect((await unanswered).isErr).toBe(true);
        leader.handleReports = () => Result.ok({});
        const malformed = report(first);
        await clock.runFor(100);
        expect((await malformed).isErr).toBe(true);
        expect(faults).toHaveLength(1);
    });
});
