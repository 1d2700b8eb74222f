import { HeaderName } from "@daisylock/protocol/http/header-name.js";
import { RequestOutcome } from "@daisylock/protocol/http/request-outcome.js";
import { afterAll, beforeAll, describe, expect, it } from "@jest/globals";

import { sendCallerRequest } from "../callers/send-caller-request.js";
import { LinkState } from "../cluster/link-state.js";
import { sendEcho } from "../request-path/send-echo.js";
import { TargetFault } from "../targets/target-fault.js";
import { buildSmallTestbed } from "./build-small-testbed.js";

const testbed = buildSmallTestbed({ firstPort: 21_000 });
const { cluster: cluster } = testbed;

const readCallerAddress = (name: string) => cluster.findProcess(name).callers;
const send = (name: string, extra: object = {}) =>
    sendCallerRequest({ entry: readCallerAddress(name), route: "book", key: testbed.keys.get("spas"), ...extra });

/** Grants a key and waits until every entry knows it. */
async function createKey(name: string): Promise<void> {
    testbed.keys.set("spas", await cluster.createKey(name, "spas"));
    for (const process of cluster.plan.processes) {
        await cluster.waitUntil(
            "the new key",
            async () => (await send(process.name)).outcome === RequestOutcome.Answer,
        );
    }
}

beforeAll(() => testbed.start(), 60_000);
afterAll(() => testbed.stop(), 30_000);

describe("a system of three zones", () => {
    describe("serving requests", () => {
        it("answers through every entry with the target's own answer", async () => {
            for (const { name } of cluster.plan.processes) {
                const answer = await send(name, { requestId: `via-${name}` });
                expect(answer.outcome).toBe(RequestOutcome.Answer);
                expect(JSON.parse(answer.body)).toMatchObject({ requestId: `via-${name}` });
            }
        });

        it("gives unknown routes and wrong keys one and the same refusal", async () => {
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
        it("carries 100 MB there and back, whole", async () => {
            expect(await sendEcho(readCallerAddress("a1"), "hours", 100)).toBe(true);
        });
    });

    describe("with targets that misbehave", () => {
        const setFaults = (fault: TargetFault) => testbed.targets.forEach(({ target }) => target.setFault(fault));

        it("never passes a part of an answer off as the whole", async () => {
            setFaults(TargetFault.Truncate);
            const answer = await send("a1");
            setFaults(TargetFault.None);
            expect(answer.outcome).toBeUndefined();
        });

        it("never passes on an answer that belongs to another request", async () => {
            setFaults(TargetFault.WrongDispatchId);
            const answer = await send("a1", { isUnrepeatable: true });
            setFaults(TargetFault.None);
            expect(answer.outcome).toBe(RequestOutcome.OutcomeUnknown);
        });

        it("answers at the deadline that the outcome is unknown, and counts the request until its target denies it", async () => {
            setFaults(TargetFault.Stall);
            const answer = await send("a1", { deadlineMs: 300 });
            setFaults(TargetFault.None);
            expect(answer).toMatchObject({ outcome: RequestOutcome.OutcomeUnknown });
            await cluster.waitUntil("the release", async () => {
                const events = (await cluster.sendApiRequest("GET", "/v1/events"))?.body["events"] as {
                    kind: string;
                }[];
                return events.some(event => event.kind === "abandoned-released");
            });
        });

        it("finds connections that are silent for good while new ones work", async () => {
            const answers = await Promise.all([1, 2, 3].map(() => send("b1")));
            expect(answers.every(answer => answer.outcome === RequestOutcome.Answer)).toBe(true);
            setFaults(TargetFault.SilentConnections);
            const answer = await send("b1", { deadlineMs: 20_000 });
            setFaults(TargetFault.None);
            expect(answer.outcome).toBe(RequestOutcome.Answer);
        });
    });

    describe("with requests marked unrepeatable", () => {
        it("runs one id once and gives its answer again through any entry", async () => {
            const options = { requestId: "payout-1", isUnrepeatable: true, body: "{}" };
            const first = await send("a1", options);
            expect(first.outcome).toBe(RequestOutcome.Answer);
            await cluster.waitUntil(
                "the recorded answer",
                async () => (await send("c2", options)).outcome === RequestOutcome.Answer,
            );
            const again = await send("b2", options);
            expect(again.body).toBe(first.body);
            expect(testbed.runs.filter(run => run.requestId === "payout-1")).toHaveLength(1);
        });

        it("refuses the same id for other content", async () => {
            const answer = await send("b1", { requestId: "payout-1", isUnrepeatable: true, body: "{ }" });
            expect(answer).toMatchObject({ status: 409, outcome: RequestOutcome.NotRun });
        });

        it("says that the outcome is unknown after the entry was killed in the middle", async () => {
            testbed.targets.forEach(({ target }) => target.setFault(TargetFault.Late));
            const options = { requestId: "payout-2", isUnrepeatable: true, body: "{}" };
            const lost = send("c2", options);
            await cluster.waitUntil("the dispatch", () => testbed.runs.some(run => run.requestId === "payout-2"));
            await cluster.sendSignal("c2", "SIGKILL");
            expect((await lost).outcome).toBeUndefined();
            testbed.targets.forEach(({ target }) => target.setFault(TargetFault.None));
            const again = await send("a2", options);
            expect(again.outcome).toBe(RequestOutcome.OutcomeUnknown);
            expect(testbed.runs.filter(run => run.requestId === "payout-2")).toHaveLength(1);
            cluster.startProcess("c2");
            await cluster.waitUntil("c2 serves", async () => (await send("c2")).outcome === RequestOutcome.Answer);
        });
    });

    describe("when the leader is killed", () => {
        it("goes on without losing a change, and gives a resent change the same answer", async () => {
            const change = {
                changeId: "change-before-kill",
                edits: [{ kind: "team", name: "late", value: { share: 1, upperLimit: 1, isolatedService: "refuse" } }],
            };
            const before = await cluster.sendApiRequest("POST", "/v1/changes", change);
            const leader = await cluster.findLeader();
            await cluster.sendSignal(leader, "SIGKILL");
            await cluster.waitUntil("another leader", async () => {
                const answer = await cluster.sendApiRequest("POST", "/v1/changes", change);
                return answer?.status === 200 && answer.body["revision"] === before?.body["revision"];
            });
            cluster.startProcess(leader);
            await cluster.waitUntil(
                "the old leader serves",
                async () => (await send(leader)).outcome === RequestOutcome.Answer,
            );
        });
    });

    describe("when operators race", () => {
        it("accepts one of two changes based on one revision and names it to the other", async () => {
            const base = (await cluster.sendApiRequest("GET", "/v1/tables"))?.body["revision"];
            const edit = (share: number) => ({
                kind: "team",
                name: "late",
                value: { share, upperLimit: 1, isolatedService: "refuse" },
            });
            const answers = await Promise.all(
                [2, 3].map(share =>
                    cluster.sendApiRequest("POST", "/v1/changes", {
                        changeId: `racing-${share}`,
                        baseRevision: base,
                        edits: [edit(share)],
                    })
                ),
            );
            const [won, lost] = answers.sort((a, b) => (a?.status ?? 0) - (b?.status ?? 0));
            expect([won?.status, lost?.status]).toEqual([200, 409]);
            expect(lost?.body["winner"]).toMatchObject({ changeId: won?.body["changeId"] });
        });
    });

    describe("when a zone is cut off", () => {
        it("stops revoked keys there too, serves open routes on, and comes back", async () => {
            cluster.setLinkState(LinkState.Cut, "c");
            await cluster.sendChange([{ kind: "key" as never, name: "key-spas" }]);
            await cluster.waitUntil(
                "the refusal in the cut-off zone",
                async () => (await send("c2")).outcome === RequestOutcome.NotRun,
            );
            const open = await send("c2", { route: "hours", key: undefined });
            expect(open.outcome).toBe(RequestOutcome.Answer);
            const unrecorded = await send("c2", { route: "hours", key: undefined, isUnrepeatable: true });
            expect(unrecorded.outcome).toBe(RequestOutcome.OutcomeUnknown);
            cluster.setLinkState(LinkState.Open, "c");
            await createKey("key-spas-2");
            await cluster.waitUntil(
                "service with the new key",
                async () => (await send("c2")).outcome === RequestOutcome.Answer,
            );
        });

        it("reaches the leader through another entry when only some links are cut", async () => {
            const leader = await cluster.findLeader();
            const zone = leader[0] ?? "";
            const other = ["a", "b", "c"].find(candidate => candidate !== zone) ?? "";
            cluster.setLinkState(LinkState.Cut, zone, other);
            await cluster.sendChange([{ kind: "key" as never, name: "key-spas-2" }]);
            await cluster.waitUntil(
                "the revocation behind the cut",
                async () => (await send(`${other}2`)).status === 401,
            );
            await createKey("key-spas-3");
            await cluster.waitUntil(
                "the new key behind the cut",
                async () => (await send(`${other}2`)).outcome === RequestOutcome.Answer,
            );
            cluster.setLinkState(LinkState.Open, zone, other);
        });
    });

    describe("when a target leaves", () => {
        it("is released only after every entry stopped sending, and no request is cut off", async () => {
            const target = testbed.findTarget("front-b1");
            const answers: Promise<{ outcome: RequestOutcome | undefined }>[] = [];
            const timer = setInterval(() => answers.push(send("b1"), send("b2"), send("a2")), 10);
            await target?.stopGracefully();
            const released = performance.now();
            await new Promise(resolve => setTimeout(resolve, 300));
            clearInterval(timer);
            for (const answer of await Promise.all(answers)) {
                expect(answer.outcome).toBe(RequestOutcome.Answer);
            }
            const late = testbed.runs.filter(run => run.vm === "front-b1" && run.startedAt > released);
            expect(late).toHaveLength(0);
        });
    });

    describe("when an entry is stopped", () => {
        it("finishes what it has and cuts off nothing", async () => {
            const answers: Promise<{ outcome: RequestOutcome | undefined }>[] = [];
            for (let count = 0; count < 12; count++) {
                answers.push(send("a2"));
            }
            await cluster.sendSignal("a2", "SIGTERM");
            for (const answer of await Promise.all(answers)) {
                expect(answer.outcome).toBe(RequestOutcome.Answer);
            }
            cluster.startProcess("a2");
            await cluster.waitUntil(
                "a2 serves again",
                async () => (await send("a2")).outcome === RequestOutcome.Answer,
            );
        });
    });

    describe("for strangers", () => {
        it("takes no announcement and no operator's request without the token", async () => {
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

        it("does not pass the caller's mark of a dispatch on", async () => {
            const response = await fetch(`http://${readCallerAddress("a1")}/v1/routes/hours/`, {
                headers: { [HeaderName.DispatchId]: "forged" },
            });
            expect(response.headers.get(HeaderName.Outcome)).toBe(RequestOutcome.Answer);
        });
    });
});
