import { HeaderName } from "@daisylock/protocol/http/header-name.js";
import { RequestOutcome } from "@daisylock/protocol/http/request-outcome.js";
import { afterAll, beforeAll, describe, expect, it } from "@jest/globals";

import { sendCallerRequest } from "../callers/send-caller-request.js";
import { LinkState } from "../cluster/link-state.js";
import { sendEcho } from "../request-path/send-echo.js";
import { TargetFault } from "../targets/target-fault.js";
import { buildSmallTestbed } from "./build-small-testbed.js";

const testbed = buildSmallTestbed({ firstPort: 21_000 });
const { cluster } = testbed;

const readCallerAddress = (name: string) => cluster.findProcess(name).callers;
const send = (name: string, extra: object = {}) =>
    sendCallerRequest({ entry: readCallerAddress(name), route: "book", key: testbed.keys.get("spas"), ...extra });

/** Creates a key and waits until every entry accepts it. */
async function createKey(name: string): Promise<void> {
    testbed.keys.set("spas", await cluster.createKey(name, "spas"));
    for (const process of cluster.plan.processes) {
        await cluster.waitUntil(
            "every entry accepts the new key",
            async () => (await send(process.name)).outcome === RequestOutcome.Answer,
        );
    }
}

beforeAll(() => testbed.start(), 60_000);
afterAll(() => testbed.stop(), 30_000);

describe("a cluster of three zones", () => {
    describe("serving requests", () => {
        it("returns the target's response through every entry", async () => {
            for (const { name } of cluster.plan.processes) {
                const response = await send(name, { requestId: `via-${name}` });
                expect(response.outcome).toBe(RequestOutcome.Answer);
                expect(JSON.parse(response.body)).toMatchObject({ requestId: `via-${name}` });
            }
        });

        it("responds identically to an unknown route, a wrong key and a missing key", async () => {
            const refusals = await Promise.all([
                send("a1", { key: "dlk_key-spas_aaaaaaaaaaaaaaaaaaaaaaaa", requestId: "same" }),
                send("a1", { key: undefined, requestId: "same" }),
                send("a1", { route: "nowhere", requestId: "same" }),
            ]);
            for (const refusal of refusals) {
                expect(refusal).toEqual({ ...refusals[0], status: 401, outcome: RequestOutcome.NotRun });
            }
        });

        it("serves open routes without a key", async () => {
            expect((await send("b2", { route: "hours", key: undefined })).outcome).toBe(RequestOutcome.Answer);
        });
    });

    describe("streaming", () => {
        it("forwards 100 MB in both directions without loss", async () => {
            expect(await sendEcho(readCallerAddress("a1"), "hours", 100)).toBe(true);
        });
    });

    describe("with faulty targets", () => {
        const setFaults = (fault: TargetFault) => testbed.targets.forEach(({ target }) => target.setFault(fault));

        it("does not present a truncated response as complete", async () => {
            setFaults(TargetFault.Truncate);
            const response = await send("a1");
            setFaults(TargetFault.None);
            expect(response.outcome).toBeUndefined();
        });

        it("does not forward a response that belongs to another request", async () => {
            setFaults(TargetFault.WrongDispatchId);
            const response = await send("a1", { isUnrepeatable: true });
            setFaults(TargetFault.None);
            expect(response.outcome).toBe(RequestOutcome.OutcomeUnknown);
        });

        it("responds at the deadline with an unknown outcome, and counts the request until its target ends it", async () => {
            setFaults(TargetFault.Stall);
            const response = await send("a1", { deadlineMs: 300 });
            setFaults(TargetFault.None);
            expect(response).toMatchObject({ outcome: RequestOutcome.OutcomeUnknown });
            await cluster.waitUntil("the abandoned request is released", async () => {
                const events = (await cluster.sendApiRequest("GET", "/v1/events"))?.body["events"] as {
                    kind: string;
                }[];
                return events.some(event => event.kind === "abandoned-released");
            });
        });

        it("detects half-open connections while new connections work", async () => {
            const responses = await Promise.all([1, 2, 3].map(() => send("b1")));
            expect(responses.every(response => response.outcome === RequestOutcome.Answer)).toBe(true);
            setFaults(TargetFault.HalfOpenConnections);
            const response = await send("b1", { deadlineMs: 20_000 });
            setFaults(TargetFault.None);
            expect(response.outcome).toBe(RequestOutcome.Answer);
        });

        it("retries on a new connection when its connections to all targets are half-open", async () => {
            setFaults(TargetFault.Late);
            const warmUps = Array.from({ length: 24 }, () => send("b1"));
            const responses = await Promise.all(warmUps);
            expect(responses.every(response => response.outcome === RequestOutcome.Answer)).toBe(true);
            setFaults(TargetFault.HalfOpenConnections);
            const response = await send("b1", { deadlineMs: 20_000 });
            setFaults(TargetFault.None);
            expect(response.outcome).toBe(RequestOutcome.Answer);
        });
    });

    describe("with unrepeatable requests", () => {
        it("runs a request id once and returns the recorded response through any entry", async () => {
            const options = { requestId: "payout-1", isUnrepeatable: true, body: "{}" };
            const first = await send("a1", options);
            expect(first.outcome).toBe(RequestOutcome.Answer);
            await cluster.waitUntil(
                "another entry returns the recorded response",
                async () => (await send("c2", options)).outcome === RequestOutcome.Answer,
            );
            const again = await send("b2", options);
            expect(again.body).toBe(first.body);
            expect(testbed.runs.filter(run => run.requestId === "payout-1")).toHaveLength(1);
        });

        it("refuses a request id that is reused with a different body", async () => {
            const response = await send("b1", { requestId: "payout-1", isUnrepeatable: true, body: "{ }" });
            expect(response).toMatchObject({ status: 409, outcome: RequestOutcome.NotRun });
        });

        it("reports an unknown outcome after the entry was killed while the request was in flight", async () => {
            testbed.targets.forEach(({ target }) => target.setFault(TargetFault.Late));
            const options = { requestId: "payout-2", isUnrepeatable: true, body: "{}" };
            const interrupted = send("c2", options);
            await cluster.waitUntil(
                "the target starts the request",
                () => testbed.runs.some(run => run.requestId === "payout-2"),
            );
            await cluster.sendSignal("c2", "SIGKILL");
            expect((await interrupted).outcome).toBeUndefined();
            testbed.targets.forEach(({ target }) => target.setFault(TargetFault.None));
            const again = await send("a2", options);
            expect(again.outcome).toBe(RequestOutcome.OutcomeUnknown);
            expect(testbed.runs.filter(run => run.requestId === "payout-2")).toHaveLength(1);
            cluster.startProcess("c2");
            await cluster.waitUntil(
                "c2 serves again",
                async () => (await send("c2")).outcome === RequestOutcome.Answer,
            );
        });
    });

    describe("when the leader is killed", () => {
        it("keeps an acknowledged change, and returns its revision when the change is sent again", async () => {
            const change = {
                changeId: "change-before-kill",
                edits: [{ kind: "team", name: "late", value: { share: 1, upperLimit: 1, isolatedService: "refuse" } }],
            };
            const before = await cluster.sendApiRequest("POST", "/v1/changes", change);
            const leader = await cluster.findLeader();
            await cluster.sendSignal(leader, "SIGKILL");
            await cluster.waitUntil("the new leader returns the same revision", async () => {
                const response = await cluster.sendApiRequest("POST", "/v1/changes", change);
                return response?.status === 200 && response.body["revision"] === before?.body["revision"];
            });
            cluster.startProcess(leader);
            await cluster.waitUntil(
                "the killed process serves again",
                async () => (await send(leader)).outcome === RequestOutcome.Answer,
            );
        });
    });

    describe("when operators make concurrent changes", () => {
        it("accepts one of two changes with the same base revision and names it in the other's refusal", async () => {
            const base = (await cluster.sendApiRequest("GET", "/v1/tables"))?.body["revision"];
            const edit = (share: number) => ({
                kind: "team",
                name: "late",
                value: { share, upperLimit: 1, isolatedService: "refuse" },
            });
            const responses = await Promise.all(
                [2, 3].map(share =>
                    cluster.sendApiRequest("POST", "/v1/changes", {
                        changeId: `racing-${share}`,
                        baseRevision: base,
                        edits: [edit(share)],
                    })
                ),
            );
            const [accepted, refused] = responses.sort((a, b) => (a?.status ?? 0) - (b?.status ?? 0));
            expect([accepted?.status, refused?.status]).toEqual([200, 409]);
            expect(refused?.body["winner"]).toMatchObject({ changeId: accepted?.body["changeId"] });
        });
    });

    describe("when a zone is partitioned from the others", () => {
        it("refuses revoked keys, still serves open routes, and recovers afterwards", async () => {
            cluster.setLinkState(LinkState.Cut, "c");
            await cluster.sendChange([{ kind: "key" as never, name: "key-spas" }]);
            await cluster.waitUntil(
                "the partitioned zone refuses keyed requests",
                async () => (await send("c2")).outcome === RequestOutcome.NotRun,
            );
            const open = await send("c2", { route: "hours", key: undefined });
            expect(open.outcome).toBe(RequestOutcome.Answer);
            const unrecorded = await send("c2", { route: "hours", key: undefined, isUnrepeatable: true });
            expect(unrecorded.outcome).toBe(RequestOutcome.OutcomeUnknown);
            cluster.setLinkState(LinkState.Open, "c");
            await createKey("key-spas-2");
            await cluster.waitUntil(
                "the zone accepts the new key",
                async () => (await send("c2")).outcome === RequestOutcome.Answer,
            );
        });

        it("reaches the leader through another entry when only the links to the leader's zone are cut", async () => {
            const leader = await cluster.findLeader();
            const zone = leader[0] ?? "";
            const other = ["a", "b", "c"].find(candidate => candidate !== zone) ?? "";
            cluster.setLinkState(LinkState.Cut, zone, other);
            await cluster.sendChange([{ kind: "key" as never, name: "key-spas-2" }]);
            await cluster.waitUntil(
                "the revoked key is refused behind the cut link",
                async () => (await send(`${other}2`)).status === 401,
            );
            await createKey("key-spas-3");
            await cluster.waitUntil(
                "the new key is accepted behind the cut link",
                async () => (await send(`${other}2`)).outcome === RequestOutcome.Answer,
            );
            cluster.setLinkState(LinkState.Open, zone, other);
        });
    });

    describe("when a target shuts down", () => {
        it("releases it only after every entry stopped sending to it, and truncates no response", async () => {
            const target = testbed.findTarget("front-b1");
            const responses: Promise<{ outcome: RequestOutcome | undefined }>[] = [];
            const timer = setInterval(() => responses.push(send("b1"), send("b2"), send("a2")), 10);
            await target?.stopGracefully();
            const releasedAt = performance.now();
            await new Promise(resolve => setTimeout(resolve, 300));
            clearInterval(timer);
            for (const response of await Promise.all(responses)) {
                expect(response.outcome).toBe(RequestOutcome.Answer);
            }
            const lateRuns = testbed.runs.filter(run => run.vm === "front-b1" && run.startedAt > releasedAt);
            expect(lateRuns).toHaveLength(0);
        });
    });

    describe("when an entry is shut down", () => {
        it("completes the requests in flight", async () => {
            const responses: Promise<{ outcome: RequestOutcome | undefined }>[] = [];
            for (let count = 0; count < 12; count++) {
                responses.push(send("a2"));
            }
            await cluster.sendSignal("a2", "SIGTERM");
            for (const response of await Promise.all(responses)) {
                expect(response.outcome).toBe(RequestOutcome.Answer);
            }
            cluster.startProcess("a2");
            await cluster.waitUntil(
                "a2 serves again",
                async () => (await send("a2")).outcome === RequestOutcome.Answer,
            );
        });
    });

    describe("for unauthenticated clients", () => {
        it("refuses announcements and operator requests without a token", async () => {
            const { targets, operators } = cluster.findProcess("a1");
            for (
                const [address, path, method] of [[targets, "/v1/targets/front-a1", "PUT"], [
                    operators,
                    "/v1/tables",
                    "GET",
                ]]
            ) {
                const response = await fetch(`http://${address ?? ""}${path ?? ""}`, { method: method ?? "" });
                expect(response.status).toBe(401);
            }
        });

        it("does not forward a dispatch id that the caller sends", async () => {
            const response = await fetch(`http://${readCallerAddress("a1")}/v1/routes/hours/`, {
                headers: { [HeaderName.DispatchId]: "forged" },
            });
            expect(response.headers.get(HeaderName.Outcome)).toBe(RequestOutcome.Answer);
        });
    });
});
