import { describe, expect, it } from "@jest/globals";
import Result from "true-myth/result";

import { CallFailureKind } from "../../http-client/call-failure-kind.js";
import type { HttpCall } from "../../http-client/http-call.js";
import type { HttpClient } from "../../http-client/http-client.js";
import { ManualClock } from "../testing/manual-clock.js";
import { LeaderClient } from "./leader-client.js";

const seeds = ["10.0.0.1:70", "10.0.0.2:70", "10.0.0.3:70"];

/** How a stand-in keeper behaves. */
enum Behavior {
    Leading,
    Following,
    /** Its process is being restarted. */
    Refusing,
    /** Its zone is cut off, or its power is off. */
    Silent,
}

class FakeKeepers {
    readonly behaviors = new Map(seeds.map(seed => [seed, Behavior.Following]));
    calls = 0;

    constructor(private readonly clock: ManualClock) {}

    /** Answers like HttpCaller.send. */
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
    const caller = new LeaderClient(keepers as unknown as HttpClient, seeds, clock);
    const start = (timeoutMs = 2_500) => {
        const call: { answeredAt?: number; isOk?: boolean; kind?: CallFailureKind | undefined } = {};
        void caller.send("ping", {}, timeoutMs).then(reply => {
            call.answeredAt = clock.readMonotonic();
            call.isOk = reply.isOk;
            call.kind = reply.isErr ? reply.error.kind : undefined;
        });
        return call;
    };
    return { clock, keepers, caller, start };
}

describe("calls to the leader", () => {
    it("wait for the end of an election instead of being refused", async () => {
        const { clock, keepers, start } = createFixture();
        const call = start();
        await clock.runFor(600);
        expect(call.answeredAt).toBeUndefined();
        keepers.behaviors.set("10.0.0.2:70", Behavior.Leading);
        await clock.runFor(200);
        expect(call).toMatchObject({ isOk: true });
    });

    it("wait for keepers that are all being restarted", async () => {
        const { clock, keepers, start } = createFixture();
        seeds.forEach(seed => keepers.behaviors.set(seed, Behavior.Refusing));
        const call = start();
        await clock.runFor(700);
        seeds.forEach(seed => keepers.behaviors.set(seed, Behavior.Leading));
        await clock.runFor(200);
        expect(call).toMatchObject({ isOk: true });
    });

    it("are refused at once when most keepers have refused connections for longer than a restart takes", async () => {
        const { clock, keepers, caller, start } = createFixture();
        keepers.behaviors.set("10.0.0.1:70", Behavior.Refusing);
        keepers.behaviors.set("10.0.0.2:70", Behavior.Refusing);
        const call = start();
        await clock.runFor(1_100);
        expect(call).toMatchObject({ isOk: false, kind: CallFailureKind.NotSent });
        expect(caller.isQuorumUnreachable()).toBe(true);
    });

    it("end truthfully as not sent when no leader comes", async () => {
        const { clock, start } = createFixture();
        const call = start();
        await clock.runFor(2_500);
        expect(call).toMatchObject({ isOk: false, kind: CallFailureKind.NotSent });
        expect(call.answeredAt).toBeLessThan(1_500);
    });

    it("are refused at once while most keepers are silent, and go on once they answer", async () => {
        const { clock, keepers, caller, start } = createFixture();
        keepers.behaviors.set("10.0.0.1:70", Behavior.Silent);
        keepers.behaviors.set("10.0.0.2:70", Behavior.Silent);
        const first = start();
        await clock.runFor(400);
        expect(first).toMatchObject({ isOk: false });
        expect(caller.isQuorumUnreachable()).toBe(true);
        const startedAt = clock.readMonotonic();
        const second = start();
        await clock.runFor(1);
        expect(second).toMatchObject({ isOk: false, answeredAt: startedAt });
        seeds.forEach(seed => keepers.behaviors.set(seed, Behavior.Leading));
        void caller.updateLeader();
        await clock.runFor(50);
        const third = start();
        await clock.runFor(1);
        expect(third).toMatchObject({ isOk: true });
    });

    it("share one search, so that many that wait don't flood the keepers", async () => {
        const { clock, keepers, start } = createFixture();
        Array.from({ length: 50 }, () => start());
        await clock.runFor(1_000);
        expect(keepers.calls).toBeLessThan(60);
    });
});
