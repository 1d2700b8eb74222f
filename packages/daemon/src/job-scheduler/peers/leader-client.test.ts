import { describe, expect, it } from "@jest/globals";
import Result from "true-myth/result";

import { CallFailureKind } from "../../http-client/call-failure-kind.js";
import type { HttpCall } from "../../http-client/http-call.js";
import type { HttpClient } from "../../http-client/http-client.js";
import { ManualClock } from "../testing/manual-clock.js";
import { LeaderClient } from "./leader-client.js";

const seeds = ["10.0.0.1:70", "10.0.0.2:70", "10.0.0.3:70"];

/** Behaviour of a fake keeper. */
enum Behavior {
    Leading,
    Following,
    /** Replies with something that is no reply of a leader. */
    Malformed,
    /** Does not know the call, as a keeper of an earlier release. */
    Older,
    /** Refuses connections, as during a restart of its process. */
    Refusing,
    /** The call throws. */
    Throwing,
    /** Does not respond, as when its availability zone is partitioned or its power is off. */
    Unresponsive,
}

class FakeKeepers {
    readonly behaviors = new Map(seeds.map(seed => [seed, Behavior.Following]));
    calls = 0;

    constructor(private readonly clock: ManualClock) {}

    /** Replaces HttpClient.send. */
    send(call: HttpCall): ReturnType<HttpClient["send"]> {
        this.calls += 1;
        return new Promise(resolve => {
            switch (this.behaviors.get(call.address)) {
                case Behavior.Leading:
                    resolve(buildReply({ isLeader: true, value: { name: call.path } }));
                    break;
                case Behavior.Following:
                    resolve(buildReply({ isLeader: false, leader: undefined, mayHaveRun: false }));
                    break;
                case Behavior.Malformed:
                    resolve(Result.ok({ status: 200, body: Buffer.from("{\"isLeader\":1}") }));
                    break;
                case Behavior.Older:
                    resolve(Result.ok({ status: 404, body: Buffer.alloc(0) }));
                    break;
                case Behavior.Throwing:
                    throw new RangeError("bad port");
                case Behavior.Refusing:
                    resolve(Result.err({ kind: CallFailureKind.NotSent, detail: "refused", isTimeout: false }));
                    break;
                default:
                    this.clock.schedule(
                        Math.min(300, call.timeoutMs),
                        () =>
                            resolve(Result.err({ kind: CallFailureKind.NotSent, detail: "timeout", isTimeout: true })),
                    );
            }
        });
    }
}

function buildReply(body: unknown) {
    return Result.ok({ status: 200, body: Buffer.from(JSON.stringify(body)) }) as never;
}

function createFixture() {
    const clock = new ManualClock();
    const keepers = new FakeKeepers(clock);
    const client = new LeaderClient(keepers, seeds, clock, () => undefined);
    const start = (
        timeoutMs = 2_500,
        send = () => client.send("ping", {}, timeoutMs) as ReturnType<typeof client.send>,
    ) => {
        const call: { repliedAt?: number; isOk?: boolean; kind?: CallFailureKind | undefined } = {};
        void send().then(reply => {
            call.repliedAt = clock.readMonotonic();
            call.isOk = reply.isOk;
            call.kind = reply.isErr ? reply.error.kind : undefined;
        });
        return call;
    };
    return { clock, keepers, client, start };
}

describe("LeaderClient", () => {
    it("takes a malformed reply for none, and calls the next leader", async () => {
        const { clock, keepers, start } = createFixture();
        seeds.forEach(seed => keepers.behaviors.set(seed, Behavior.Malformed));
        const call = start();
        await clock.runFor(200);
        expect(call.repliedAt).toBeUndefined();
        keepers.behaviors.set("10.0.0.3:70", Behavior.Leading);
        await clock.runFor(300);
        expect(call.isOk).toBe(true);
    });

    it("takes a call that throws for one without an answer, and finds the leader among the others", async () => {
        const { clock, keepers, start } = createFixture();
        seeds.forEach(seed => keepers.behaviors.set(seed, Behavior.Throwing));
        const call = start();
        await clock.runFor(200);
        expect(call.repliedAt).toBeUndefined();
        keepers.behaviors.set("10.0.0.3:70", Behavior.Leading);
        await clock.runFor(300);
        expect(call.isOk).toBe(true);
    });

    it("waits for the end of an election instead of failing a call", async () => {
        const { clock, keepers, start } = createFixture();
        const call = start();
        await clock.runFor(600);
        expect(call.repliedAt).toBeUndefined();
        keepers.behaviors.set("10.0.0.2:70", Behavior.Leading);
        await clock.runFor(200);
        expect(call).toMatchObject({ isOk: true });
    });

    it("waits while all keepers are being restarted", async () => {
        const { clock, keepers, start } = createFixture();
        seeds.forEach(seed => keepers.behaviors.set(seed, Behavior.Refusing));
        const call = start();
        await clock.runFor(700);
        seeds.forEach(seed => keepers.behaviors.set(seed, Behavior.Leading));
        await clock.runFor(200);
        expect(call).toMatchObject({ isOk: true });
    });

    it("fails calls at once when most keepers have refused connections for longer than a restart takes", async () => {
        const { clock, keepers, client, start } = createFixture();
        keepers.behaviors.set("10.0.0.1:70", Behavior.Refusing);
        keepers.behaviors.set("10.0.0.2:70", Behavior.Refusing);
        const call = start();
        await clock.runFor(1_100);
        expect(call).toMatchObject({ isOk: false, kind: CallFailureKind.NotSent });
        expect(client.isQuorumUnreachable()).toBe(true);
    });

    it("tells at once that a leader of an earlier release does not know a call, and keeps it as the leader", async () => {
        const { clock, keepers, client, start } = createFixture();
        keepers.behaviors.set("10.0.0.2:70", Behavior.Leading);
        start();
        await clock.runFor(100);
        keepers.behaviors.set("10.0.0.2:70", Behavior.Older);
        const call = start(2_500, () => client.send("reports", { reports: [] }, 2_500));
        await clock.runFor(1);
        expect(call).toMatchObject({ isOk: false, kind: CallFailureKind.Unsupported });
        expect(client.readLeader()).toBe("10.0.0.2:70");
    });

    it("reports a call as not sent when no leader is found", async () => {
        const { clock, start } = createFixture();
        const call = start();
        await clock.runFor(2_500);
        expect(call).toMatchObject({ isOk: false, kind: CallFailureKind.NotSent });
        expect(call.repliedAt).toBeLessThan(1_500);
    });

    it("fails calls at once while most keepers are unresponsive, and succeeds again once they respond", async () => {
        const { clock, keepers, client, start } = createFixture();
        keepers.behaviors.set("10.0.0.1:70", Behavior.Unresponsive);
        keepers.behaviors.set("10.0.0.2:70", Behavior.Unresponsive);
        const first = start();
        await clock.runFor(400);
        expect(first).toMatchObject({ isOk: false });
        expect(client.isQuorumUnreachable()).toBe(true);
        const startedAt = clock.readMonotonic();
        const second = start();
        await clock.runFor(1);
        expect(second).toMatchObject({ isOk: false, repliedAt: startedAt });
        seeds.forEach(seed => keepers.behaviors.set(seed, Behavior.Leading));
        void client.updateLeader();
        await clock.runFor(50);
        const third = start();
        await clock.runFor(1);
        expect(third).toMatchObject({ isOk: true });
    });

    it("shares one search among concurrent calls, so that they do not flood the keepers", async () => {
        const { clock, keepers, start } = createFixture();
        Array.from({ length: 50 }, () => start());
        await clock.runFor(1_000);
        expect(keepers.calls).toBeLessThan(60);
    });
});
