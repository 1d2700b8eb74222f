import type { TargetRecord } from "@daisylock/core/targets/target-record.js";
import type { TargetReport } from "@daisylock/core/targets/target-report.js";
import { buildTestFleet } from "@daisylock/core/testing/build-test-fleet.js";
import { leaderCallSchemas } from "@daisylock/protocol/fleet/leader-call-schemas.js";
import { describe, expect, it } from "@jest/globals";
import Result from "true-myth/result";

import type { FleetHandlers } from "../peers/fleet-handlers.js";
import type { LeaderClient } from "../peers/leader-client.js";
import { ManualClock } from "../testing/manual-clock.js";
import { ForwardingControlApi } from "./forwarding-control-api.js";

const targetCount = 378;

/** A call that was forwarded to the leader. */
interface ForwardedCall {
    readonly name: string;
    readonly request: unknown;
    readonly timeoutMs: number;
}

function createFixture() {
    const clock = new ManualClock();
    const { targets } = buildTestFleet(targetCount, { cpu: 4_000, memory: 1_000, gpu: 0 }).fleet;
    const forwarded: ForwardedCall[] = [];
    const notLeader = async () => ({ isLeader: false as const, leader: undefined, mayHaveRun: false });
    const handlers = Object.fromEntries(
        Object.keys(leaderCallSchemas).map(name => [name, notLeader]),
    ) as unknown as FleetHandlers;
    const leaderClient = {
        send: async (name: string, request: object, timeoutMs: number) => {
            forwarded.push({ name, request, timeoutMs });
            const { reports } = request as { readonly reports?: readonly TargetReport[] };
            return Result.ok(
                reports === undefined
                    ? { isNewest: true }
                    : { replies: reports.map(() => ({ reply: { isNewest: true } })) },
            );
        },
    } as unknown as LeaderClient;
    const api = new ForwardingControlApi(handlers, leaderClient);
    let sequence = 0;
    /** Sends a heartbeat of a target; its fields are those of the record unless others are given. */
    const report = (target: TargetRecord, fields: Partial<TargetRecord> = {}) => {
        sequence += 1;
        return api.send("report", { record: { ...target, ...fields }, sequence, clockMs: 1, remainingMs: undefined });
    };
    return { clock, forwarded, report, targets: [...targets.values()] };
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
});
