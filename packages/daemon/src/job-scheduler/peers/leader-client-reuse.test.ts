import { describe, expect, it } from "@jest/globals";
import Result from "true-myth/result";

import type { HttpCall } from "../../http-client/http-call.js";
import type { HttpClient } from "../../http-client/http-client.js";
import { ManualClock } from "../testing/manual-clock.js";
import { LeaderClient } from "./leader-client.js";

const former = "10.0.0.1:70";
const successor = "10.0.0.2:70";
const notFound = Result.ok({ status: 404, body: Buffer.alloc(0) }) as never;

function buildReply(isLeader: boolean) {
    const body = isLeader
        ? { isLeader, value: { isNewest: true } }
        : { isLeader, leader: undefined, mayHaveRun: false };
    return Result.ok({ status: 200, body: Buffer.from(JSON.stringify(body)) }) as never;
}

function createFixture() {
    const clock = new ManualClock();
    const fixture = {
        clock,
        leader: former,
        respond: undefined as ((call: HttpCall) => Awaited<ReturnType<HttpClient["send"]>> | undefined) | undefined,
    };
    const http = {
        send: async (call: HttpCall) => fixture.respond?.(call) ?? buildReply(call.address === fixture.leader),
    };
    const client = new LeaderClient(http, [former, successor], clock, () => undefined);
    return Object.assign(fixture, { client });
}

describe("LeaderClient", () => {
    it("finds the successor when another server, which knows no call, has the address of the former leader", async () => {
        const fixture = createFixture();
        const { clock, client } = fixture;
        const send = () => client.send("leave", { id: "t0", incarnation: 1 }, 850);
        const first = send();
        await clock.runFor(100);
        expect((await first).isOk).toBe(true);
        fixture.leader = successor;
        fixture.respond = ({ address }) => address === former ? notFound : undefined;
        const replies = [send(), send()];
        await clock.runFor(900);
        expect((await Promise.all(replies)).map(({ isOk }) => isOk)).toEqual([true, true]);
        expect(client.readLeader()).toBe(successor);
    });
});
