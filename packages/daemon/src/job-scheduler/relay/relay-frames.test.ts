import type { TargetRecord } from "@daisylock/core/targets/target-record.js";
import { afterEach, describe, expect, it } from "@jest/globals";
import { createServer, type Server } from "node:http";
import {
    type AddressInfo,
    connect,
    createServer as createTcpServer,
    type Server as TcpServer,
    type Socket,
} from "node:net";
import Result from "true-myth/result";

import { ChannelClient } from "../../channel/channel-client.js";
import { ChannelServer } from "../../channel/channel-server.js";
import { FrameDecoder } from "../../channel/frame-decoder.js";
import { FrameKind } from "../../channel/frame-kind.js";
import { SystemClock } from "../../clock/system-clock.js";
import { CallFailureKind } from "../../http-client/call-failure-kind.js";
import type { FleetHandlers } from "../peers/fleet-handlers.js";
import { PeerRequestHandler } from "../peers/peer-request-handler.js";
import { TargetRequestResult } from "../targets/target-request-result.js";
import { RelayBatchClient } from "./relay-batch-client.js";
import { RelayedTargetClient } from "./relayed-target-client.js";
import { TargetRequestRelay } from "./target-request-relay.js";

const targetCount = 100;
const startCount = 200;
const maxFrameBytes = 16 * 1024 * 1024;
const headEnd = "\r\n\r\n";

const cleanups: (() => void)[] = [];

async function startListening(server: Server | TcpServer): Promise<number> {
    const sockets = new Set<Socket>();
    server.on("connection", (socket: Socket) => sockets.add(socket));
    cleanups.push(() => {
        server.close();
        sockets.forEach(socket => socket.destroy());
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return (server.address() as AddressInfo).port;
}

/** Counts the frames of requests, responses and notices in one direction of a channel. */
class FrameCounter {
    count = 0;
    private readonly decoder = new FrameDecoder(maxFrameBytes);
    private head = "";

    addChunk(chunk: Buffer): void {
        const start = this.head.endsWith(headEnd) ? 0 : this.cutHead(chunk);
        this.decoder.decodeChunk(chunk.subarray(start))?.forEach(({ kind }) => {
            this.count += kind === FrameKind.Ping || kind === FrameKind.Pong ? 0 : 1;
        });
    }

    private cutHead(chunk: Buffer): number {
        const text = chunk.toString("latin1");
        const end = text.indexOf(headEnd);
        this.head = end < 0 ? "" : headEnd;
        return end < 0 ? chunk.length : end + headEnd.length;
    }
}

/** A leader's client and a relay with a channel between them, whose frames are counted. */
async function createFixture() {
    const waiting: (() => void)[] = [];
    const sender = {
        send: async (kind: string) => {
            if (kind === "renew") {
                await new Promise<void>(resolve => waiting.push(resolve));
            }
            return { result: TargetRequestResult.Done, clockMs: 5, incarnation: 1, running: [], ended: [] };
        },
    };
    const clock = new SystemClock();
    const relay = new TargetRequestRelay(sender, clock, () => undefined);
    const handler = new PeerRequestHandler(() => undefined, {} as FleetHandlers, relay, () => undefined);
    const channels = new ChannelServer((...args) => handler.handleRequest(...args), () => undefined);
    const server = createServer();
    server.on("upgrade", (request, socket, head) => channels.serveUpgrade(request, socket, head));
    const port = await startListening(server);
    const requests = new FrameCounter();
    const responses = new FrameCounter();
    const proxy = createTcpServer(socket => {
        const upstream = connect(port, "127.0.0.1");
        socket.on("data", chunk => requests.addChunk(chunk));
        upstream.on("data", chunk => responses.addChunk(chunk));
        socket.pipe(upstream).pipe(socket);
    });
    const address = `127.0.0.1:${await startListening(proxy)}`;
    const http = {
        send: async () => Result.err({ kind: CallFailureKind.NotSent, detail: "no HTTP", isTimeout: false }) as never,
        close: () => undefined,
    };
    const peers = new ChannelClient(http, clock);
    cleanups.push(() => peers.close());
    const direct = { send: () => Promise.reject(new TypeError("sent directly")), close: () => undefined };
    const relays = { pickRelay: () => address, noteFailure: () => undefined };
    const client = new RelayedTargetClient(direct, new RelayBatchClient(peers, clock), peers, relays, {
        record: () => undefined,
    }, clock);
    return { client, requests, responses, waiting };
}

function buildTarget(index: number): TargetRecord {
    return { id: `t${index % targetCount}`, address: "10.0.0.9:80" } as TargetRecord;
}

function buildStart(index: number) {
    return { task: `j.0.0.${index}`, run: 1, spec: "s", leaseUntilMs: 9, fencingToken: 3, saved: "", ticket: "" };
}

afterEach(() => {
    cleanups.splice(0).forEach(clean => clean());
});

describe("frames between the leader and a relay", () => {
    // The leader built, sent, timed and parsed a message of its own for each start, renewal and response.
    it("are one in each direction for all starts of an interval, and for all renewals", async () => {
        const { client, requests, responses, waiting } = await createFixture();
        const sendStarts = (count: number) =>
            Promise.all(
                Array.from({ length: count }, (_, index) => client.startTask(buildTarget(index), buildStart(index))),
            );
        await sendStarts(1);
        const takeCounts = () => {
            const counts = [requests.count, responses.count];
            requests.count = 0;
            responses.count = 0;
            return counts;
        };
        takeCounts();
        const started = await sendStarts(startCount);
        expect(started.every(({ result }) => result === TargetRequestResult.Done)).toBe(true);
        expect(takeCounts()).toEqual([1, 1]);
        const renewal = { leaseUntilMs: 9, fencingToken: 3, lastSeen: 2, waitMs: 500 };
        const renewals = Array.from(
            { length: targetCount },
            (_, index) => client.sendLeaseRenewal(buildTarget(index), renewal),
        );
        while (waiting.length < targetCount) {
            await new Promise(resolve => setTimeout(resolve, 1));
        }
        waiting.forEach(answer => answer());
        expect((await Promise.all(renewals)).every(({ result }) => result === TargetRequestResult.Done)).toBe(true);
        expect(takeCounts()).toEqual([1, 1]);
    });
});
