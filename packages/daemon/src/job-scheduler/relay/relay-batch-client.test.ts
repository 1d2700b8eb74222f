import { describe, expect, it } from "@jest/globals";
import type Result from "true-myth/result";

import type { ChannelListener } from "../../channel/channel-listener.js";
import { CallFailureKind } from "../../http-client/call-failure-kind.js";
import type { CallFailure } from "../../http-client/call-failure.js";
import { peerPaths } from "../peers/peer-paths.js";
import { TargetRequestKind } from "../targets/target-request-kind.js";
import { TargetRequestResult } from "../targets/target-request-result.js";
import { ManualClock } from "../testing/manual-clock.js";
import { RelayBatchClient } from "./relay-batch-client.js";
import type { RelayReply } from "./relay-reply.js";
import { TargetRequestRelay } from "./target-request-relay.js";

const relay = "k1:70";
const timeoutMs = 650;

type Reply = Result<RelayReply, CallFailure>;
type Row = [id: number, kind: string, body: { request: { task: string } }];

/** A channel whose writes and closes a test controls. */
function createFixture() {
    const clock = new ManualClock();
    const listeners: ChannelListener[] = [];
    const state = { isOpen: true };
    let scheduled: (() => Buffer)[] = [];
    const client = new RelayBatchClient({
        scheduleNotice: (address, path, buildBody) => {
            expect([address, path]).toEqual([relay, peerPaths.relayBatch]);
            scheduled.push(buildBody);
            return state.isOpen;
        },
        addListener: listener => void listeners.push(listener),
    }, clock);
    const send = (task: string) => {
        const request = { task, run: 1, fencingToken: 3 };
        const body = { target: { id: "t1", address: "10.0.0.9:80" }, sentAtMs: 0, request };
        return client.send(relay, TargetRequestKind.Stop, body, timeoutMs);
    };
    /** Writes what is scheduled, and returns the requests of each message. */
    const writeAll = (): Row[][] => scheduled.splice(0).map(buildBody => JSON.parse(buildBody().toString()) as Row[]);
    const reply = (content: unknown) =>
        listeners.forEach(({ handleNotice }) =>
            handleNotice(relay, peerPaths.relayReplies, Buffer.from(JSON.stringify(content)))
        );
    const close = () => {
        scheduled = [];
        listeners.forEach(({ handleClose }) => handleClose(relay));
    };
    return { clock, state, client, send, writeAll, reply, close };
}

const describeReply = (reply: Reply | undefined) =>
    reply?.isOk === true ? reply.value.status : reply?.isErr === true ? reply.error.kind : undefined;

describe("RelayBatchClient", () => {
    it("sends all requests before a write in one message, and later ones in the next", async () => {
        const { send, writeAll, reply } = createFixture();
        const first = ["a", "b", "c"].map(task => send(task) ?? Promise.reject(new TypeError("not sent")));
        const [batch = [], ...others] = writeAll();
        expect(others).toEqual([]);
        expect(batch.map(([, kind, { request }]) => [kind, request.task])).toEqual([
            ["stop", "a"],
            ["stop", "b"],
            ["stop", "c"],
        ]);
        const second = send("d");
        const [[[lastId] = []] = []] = writeAll();
        reply([[lastId, 200, {}], ...batch.slice(1).map(([id]) => [id, 503])]);
        expect(describeReply(await second)).toBe(200);
        expect((await Promise.all(first.slice(1))).map(describeReply)).toEqual([503, 503]);
        reply([[batch[0]?.[0], 200, {}]]);
        expect(describeReply(await first[0])).toBe(200);
    });

    it("splits requests that are too large for one message", () => {
        const { send, writeAll } = createFixture();
        for (let request = 0; request < 30; request++) {
            void send("x".repeat(20_000));
        }
        const batches = writeAll();
        expect(batches.length).toBeGreaterThan(1);
        expect(new Set(batches.flat().map(([id]) => id)).size).toBe(30);
    });

    // A request that counts as not sent may be taken for refused, and its task start elsewhere.
    it("tells only requests that the channel has not taken to be not sent when it ends", async () => {
        const { send, writeAll, close } = createFixture();
        const taken = send("a");
        writeAll();
        const waiting = send("b");
        close();
        expect([await taken, await waiting].map(describeReply)).toEqual([
            CallFailureKind.Unanswered,
            CallFailureKind.NotSent,
        ]);
        const next = send("c");
        close();
        expect(describeReply(await next)).toBe(CallFailureKind.NotSent);
    });

    it("gives a request up after its time limit, and ignores its late reply", async () => {
        const { clock, send, writeAll, reply } = createFixture();
        const late = send("a");
        const [[[lateId] = []] = []] = writeAll();
        await clock.runFor(400);
        const other = send("b");
        const [[[otherId] = []] = []] = writeAll();
        await clock.runFor(320);
        expect(describeReply(await late)).toBe(CallFailureKind.Unanswered);
        reply([[lateId, 200, {}], [otherId, 200, {}], [77, 200, {}]]);
        expect(describeReply(await other)).toBe(200);
    });

    // A leader whose main thread is full gave up requests whose replies had arrived, and sent them itself at a higher cost.
    it("reads what has arrived before it gives requests up after the process was busy", async () => {
        const { clock, send, writeAll, reply } = createFixture();
        const answered = send("a");
        const lost = send("b");
        const [[[id] = []] = []] = writeAll();
        // The first timer that is due after the pause delivers the reply, as the event loop does between timers.
        clock.runLate(2_000);
        clock.schedule(0, () => reply([[id, 200, {}]]));
        await clock.runFor(100);
        expect([await answered, await lost].map(describeReply)).toEqual([200, CallFailureKind.Unanswered]);
    });

    it("counts the open requests of a relay whose replies cannot be read as possibly sent", async () => {
        for (const malformed of [{}, [1], [["a", 200]], [[1]], "x"]) {
            const { send, writeAll, reply } = createFixture();
            const taken = send("a");
            writeAll();
            const waiting = send("b");
            reply(malformed);
            expect([await taken, await waiting].map(describeReply)).toEqual(Array(2).fill(CallFailureKind.Unanswered));
        }
    });

    it("sends nothing without a channel that takes batches", () => {
        const { state, send } = createFixture();
        state.isOpen = false;
        expect(send("a")).toBeUndefined();
    });
});

describe("TargetRequestRelay with batches", () => {
    const body = (task: string, fields: object = {}) => ({
        target: { id: "t1", address: "10.0.0.9:80" },
        sentAtMs: 0,
        request: { task, fencingToken: 3 },
        ...fields,
    });
    const createRelay = () => {
        const waiting = new Map<string, () => void>();
        const faults: unknown[] = [];
        const sender = {
            send: async (_kind: string, _target: object, { request: { task } }: { request: { task: string } }) => {
                if (task === "broken") {
                    throw new TypeError("broken");
                }
                await new Promise<void>(resolve => waiting.set(task, resolve));
                return { result: TargetRequestResult.Done, clockMs: 5 };
            },
        };
        const target = new TargetRequestRelay(sender, new ManualClock(), fault => faults.push(fault));
        let scheduled: (() => Buffer)[] = [];
        const channel = {
            scheduleNotice: (path: string, buildBody: () => Buffer) => {
                expect(path).toBe(peerPaths.relayReplies);
                scheduled.push(buildBody);
                return true;
            },
        };
        const send = (rows: unknown) => target.handleBatch(Buffer.from(JSON.stringify(rows)), channel);
        const takeReplies = async () => {
            await new Promise(resolve => setImmediate(resolve));
            const replies = scheduled.map(buildBody => JSON.parse(buildBody().toString()) as unknown[]);
            scheduled = [];
            return replies;
        };
        return { send, takeReplies, waiting, faults };
    };
    const done = { result: TargetRequestResult.Done, clockMs: 5 };

    it("replies to requests that are answered without waiting for the others, in one message", async () => {
        const { send, takeReplies, waiting } = createRelay();
        void send([[1, "renew", body("slow")], [2, "start", body("a")], [3, "start", body("b")]]);
        void send([[4, "stop", body("c")]]);
        await takeReplies();
        ["a", "b", "c"].forEach(task => waiting.get(task)?.());
        expect(await takeReplies()).toEqual([[[2, 200, done], [3, 200, done], [4, 200, done]]]);
        waiting.get("slow")?.();
        expect(await takeReplies()).toEqual([[[1, 200, done]]]);
    });

    it("refuses malformed and late requests of a batch and sends the others", async () => {
        const { send, takeReplies, waiting, faults } = createRelay();
        void send([
            [1, "format", body("x")],
            [2, "constructor", body("x")],
            [3, "stop", body("x", { target: { id: "t1", address: "10.0.0.9:99999" } })],
            [4, "stop", body("x", { sentAtMs: 5_000 })],
            [5, "stop", 7],
            [6, "stop", body("broken")],
            [7, "stop", body("a")],
            [8, "stop"],
        ]);
        const [replies = []] = await takeReplies();
        expect(new Map((replies as [number, number, unknown][]).map(([id, ...reply]) => [id, reply]))).toEqual(
            new Map([
                [1, [404, null]],
                [2, [404, null]],
                [3, [400, null]],
                [4, [503, null]],
                [5, [400, null]],
                [6, [500, null]],
                [8, [400, null]],
            ]),
        );
        expect([...waiting.keys()]).toEqual(["a"]);
        expect(faults).toMatchObject([{ work: "peer-request", subject: "stop" }]);
    });

    it("sends nothing of a batch that is no list of requests", async () => {
        const { send, takeReplies, waiting } = createRelay();
        for (const rows of [{}, 5, [[1]], [["1", "stop", body("a")]], [[1, "stop", body("a")], 3]]) {
            expect((await send(rows)).status).toBe(400);
        }
        expect([await takeReplies(), waiting.size]).toEqual([[], 0]);
    });
});
