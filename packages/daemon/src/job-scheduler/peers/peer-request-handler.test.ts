import type { RaftMessage } from "@daisylock/core/raft/raft-message.js";
import { buildTestStep } from "@daisylock/core/testing/build-test-step.js";
import { leaderCallSchemas } from "@daisylock/protocol/fleet/leader-call-schemas.js";
import { RaftBatch } from "@daisylock/protocol/generated/raft.js";
import { describe, expect, it } from "@jest/globals";
import fc from "fast-check";

import { SystemClock } from "../../clock/system-clock.js";
import { TargetRequestRelay } from "../relay/target-request-relay.js";
import { TargetRequestKind } from "../targets/target-request-kind.js";
import { TargetRequestResult } from "../targets/target-request-result.js";
import type { FleetHandlers } from "./fleet-handlers.js";
import { peerPaths } from "./peer-paths.js";
import { PeerRequestHandler } from "./peer-request-handler.js";

const callNames = Object.keys(leaderCallSchemas);
const jsonPaths = [
    ...callNames.map(name => `${peerPaths.call}${name}`),
    ...Object.values(TargetRequestKind).map(kind => `${peerPaths.relay}${kind}`),
];
const callsWithoutContent = ["ping", "findLeader", "readConfiguration"];
const pathsWithContent = jsonPaths.filter(path => !callsWithoutContent.some(name => path.endsWith(`/${name}`)));

function createFixture() {
    const effects: unknown[] = [];
    const noteEffect = (effect: unknown) => {
        effects.push(effect);
        return Promise.resolve({ isLeader: true as const, value: {} });
    };
    const handlers = Object.fromEntries(callNames.map(name => [name, noteEffect])) as unknown as FleetHandlers;
    const sender = {
        send: (kind: unknown) => {
            effects.push(kind);
            return Promise.resolve({ result: TargetRequestResult.Done, clockMs: undefined });
        },
    };
    const messages: RaftMessage[] = [];
    const relay = new TargetRequestRelay(sender, new SystemClock(), () => undefined);
    const receive = (received: readonly RaftMessage[]) => messages.push(...received);
    const handler = new PeerRequestHandler(receive, handlers, relay, () => undefined);
    return { handler, effects, messages };
}

const encode = (value: unknown) => Buffer.from(JSON.stringify(value));

const report = {
    record: {
        id: "t1",
        incarnation: 1,
        pool: "web",
        address: "127.0.0.1:80",
        zone: "a",
        vm: "vm1",
        rack: "r1",
        labels: [],
        capacity: { cpu: 4_000, memory: 1_000, gpu: 0 },
        state: "ready",
    },
    sequence: 1,
};

describe("requests between processes", () => {
    it("are refused and change nothing when their bodies are random bytes", async () => {
        await fc.assert(fc.asyncProperty(
            fc.constantFrom(...jsonPaths),
            fc.uint8Array({ maxLength: 200 }),
            async (path, bytes) => {
                const { handler, effects } = createFixture();
                const { status } = await handler.handleRequest(path, Buffer.from(bytes));
                expect([status, effects]).toEqual([400, []]);
            },
        ));
    });

    it("are refused and change nothing when their bodies have another shape", async () => {
        await fc.assert(fc.asyncProperty(
            fc.constantFrom(...pathsWithContent),
            fc.jsonValue(),
            async (path, value) => {
                const { handler, effects } = createFixture();
                const { status } = await handler.handleRequest(path, encode(value));
                expect([status, effects]).toEqual([400, []]);
            },
        ));
    });

    it("are refused when a field of a heartbeat is missing, of another type or far too large", async () => {
        const { handler, effects } = createFixture();
        const path = `${peerPaths.call}report`;
        expect((await handler.handleRequest(path, encode(report))).status).toBe(200);
        const faults = [
            { ...report, record: { ...report.record, capacity: undefined } },
            { ...report, record: { ...report.record, capacity: { cpu: "4", memory: 1, gpu: 0 } } },
            { ...report, record: { ...report.record, labels: "a" } },
            { ...report, record: { ...report.record, state: "unknown" } },
            { ...report, record: { ...report.record, id: "x".repeat(100_000) } },
            { ...report, sequence: "1" },
        ];
        for (const fault of faults) {
            expect((await handler.handleRequest(path, encode(fault))).status).toBe(400);
        }
        const unbounded = JSON.stringify(report).replace("4000", "1e999");
        expect((await handler.handleRequest(path, Buffer.from(unbounded))).status).toBe(400);
        expect(effects).toHaveLength(1);
    });

    it.each([
        ["a target's address", "report", { ...report, record: { ...report.record, address: "127.0.0.9:99999" } }],
        ["a target's id", "report", { ...report, record: { ...report.record, id: "i-\n" } }],
        ["a target's incarnation", "report", { ...report, record: { ...report.record, incarnation: 1e300 } }],
        ["the number of a heartbeat", "report", { ...report, sequence: 1e300 }],
        ["the number of a wave", "startUpkeep", { number: null, vms: [], deadlineS: 5, cap: 1 }],
        ["the deadline of a wave", "startUpkeep", { number: 1, vms: [], deadlineS: 1e300, cap: 1 }],
        ["the cap of a wave", "startUpkeep", { number: 1, vms: [], deadlineS: 5, cap: 0 }],
        ["the address of a joining keeper", "join", { id: "k9", address: "127.0.0.9:99999" }],
    ])("do not pass on %s that cannot be used", async (_, name, request) => {
        const { handler, effects } = createFixture();
        const { status } = await handler.handleRequest(`${peerPaths.call}${name}`, encode(request));
        expect([status, effects]).toEqual([400, []]);
    });

    it.each([
        { id: "t1", address: "127.0.0.9:99999" },
        { id: "i-\n", address: "127.0.0.9:80" },
    ])("do not send a request to the target %j, which cannot be reached", async target => {
        const { handler, effects } = createFixture();
        const body = { target, sentAtMs: Date.now(), request: { fencingToken: 1 } };
        const { status } = await handler.handleRequest(`${peerPaths.relay}${TargetRequestKind.Stop}`, encode(body));
        expect([status, effects]).toEqual([400, []]);
    });

    // A malformed job that was committed would stop every keeper that applies it, and again after each restart.
    it("do not pass a job on whose steps cannot be applied", async () => {
        const { handler, effects } = createFixture();
        const call = { verb: "submit", host: "h", path: "/q/0123456789abcdef", key: "" };
        const job = { spec: "", steps: [{ count: 1 }], times: 0, startAtMs: 0, intervalMs: 0 };
        const { status } = await handler.handleRequest(`${peerPaths.call}job`, encode({ ...call, job }));
        expect([status, effects]).toEqual([400, []]);
    });

    it("pass a job on whose numbers are out of range, as its caller is told so by the leader", async () => {
        const needs = { cpu: -1, memory: null, gpu: 0.5 };
        const step = { ...buildTestStep(), count: 1e300, needs, estimateMs: null, after: [-1] };
        const job = { spec: "x".repeat(5_000), steps: [step], times: 0, startAtMs: -1, intervalMs: 0 };
        const { handler, effects } = createFixture();
        const call = { verb: "submit", host: "h", path: `/q/${"x".repeat(6_000)}`, key: "", job };
        const { status } = await handler.handleRequest(`${peerPaths.call}job`, encode(call));
        expect([status, effects.length]).toEqual([200, 1]);
    });

    it("do not pass on messages of the log that the receiver cannot apply", async () => {
        const { handler, messages } = createFixture();
        const base = { from: "k1", to: "k0", term: 3, sentAt: 1 };
        const entry = { index: 1, term: 3, kind: 2, payload: "not members" };
        const batch = RaftBatch.fromPartial({
            fromAddress: "127.0.0.1:1",
            messages: [
                { ...base, kind: 99 },
                { ...base, kind: 6, members: "{" },
                { ...base, kind: 6, members: "[]" },
                { ...base, kind: 4, entries: [entry] },
                { ...base, kind: 4, entries: [{ ...entry, kind: 77 }] },
                { ...base, kind: 4, sentAt: Number.NaN },
                { ...base, kind: 4 },
                { ...base, kind: 6, members: JSON.stringify({ voters: { k0: "127.0.0.1:1" }, learners: {} }) },
            ],
        });
        await handler.handleRequest(peerPaths.raft, Buffer.from(RaftBatch.encode(batch).finish()));
        expect(messages.map(({ kind }) => kind as number)).toEqual([4, 6]);
    });

    it("are refused when a message of the log is random bytes, or changes nothing", async () => {
        await fc.assert(fc.asyncProperty(fc.uint8Array({ maxLength: 200 }), async bytes => {
            const { handler } = createFixture();
            const { status } = await handler.handleRequest(peerPaths.raft, Buffer.from(bytes));
            expect([204, 400]).toContain(status);
        }));
    });
});
