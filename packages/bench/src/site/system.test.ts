import { HeaderName } from "@daisylock/protocol/http/header-name.js";
import { Outcome } from "@daisylock/protocol/http/outcome.js";
import { afterAll, beforeAll, describe, expect, it } from "@jest/globals";

import { sendRequest } from "../callers/send-request.js";
import { LinkState } from "../fleet/link-state.js";
import { sendEcho } from "../path/send-echo.js";
import { TargetFault } from "../targets/target-fault.js";
import { buildTestSite } from "./build-test-site.js";

const site = buildTestSite({ firstPort: 21_000 });
const { fleet } = site;

const readEntry = (name: string) => fleet.findProcess(name).callers;
const send = (name: string, extra: object = {}) =>
    sendRequest({ entry: readEntry(name), route: "book", key: site.keys.get("spas"), ...extra });

/** Grants a key and waits until every entry knows it. */
async function createKey(name: string): Promise<void> {
    site.keys.set("spas", await fleet.createKey(name, "spas"));
    for (const process of fleet.plan.processes) {
        await fleet.waitUntil("the new key", async () => (await send(process.name)).outcome === Outcome.Answer);
    }
}

beforeAll(() => site.start(), 60_000);
afterAll(() => site.stop(), 30_000);

describe("a system of three zones", () => {
    describe("serving requests", () => {
        it("answers through every entry with the target's own answer", async () => {
            for (const { name } of fleet.plan.processes) {
                const answer = await send(name, { requestId: `via-${name}` });
                expect(answer.outcome).toBe(Outcome.Answer);
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
                expect(refusal).toEqual({ ...refusals[0], status: 401, outcome: Outcome.NotRun });
            }
        });

        it("serves open routes without a key", async () => {
            expect((await send("b2", { route: "hours", key: undefined })).outcome).toBe(Outcome.Answer);
        });
    });

    describe("streaming", () => {
        it("carries 100 MB there and back, whole", async () => {
            expect(await sendEcho(readEntry("a1"), "hours", 100)).toBe(true);
        });
    });

    describe("with targets that misbehave", () => {
        const setFaults = (fault: TargetFault) => site.targets.forEach(({ target }) => target.setFault(fault));

        it("never passes a part of an answer off as the whole", async () => {
            setFaults(TargetFault.Truncate);
            const answer = await send("a1");
            setFaults(TargetFault.None);
            expect(answer.outcome).toBeUndefined();
        });

        it("never passes on an answer that belongs to another request", async () => {
            setFaults(TargetFault.Cross);
            const answer = await send("a1", { isUnrepeatable: true });
            setFaults(TargetFault.None);
            expect(answer.outcome).toBe(Outcome.OutcomeUnknown);
        });

        it("answers at the deadline that the outcome is unknown, and counts the request until its target denies it", async () => {
            setFaults(TargetFault.Stall);
            const answer = await send("a1", { deadlineMs: 300 });
            setFaults(TargetFault.None);
            expect(answer).toMatchObject({ outcome: Outcome.OutcomeUnknown });
            await fleet.waitUntil("the release", async () => {
                const events = (await fleet.sendOperate("GET", "/v1/events"))?.body["events"] as { kind: string }[];
                return events.some(event => event.kind === "abandoned-released");
            });
        });

        it("finds connections that are silent for good while new ones work", async () => {
            const answers = await Promise.all([1, 2, 3].map(() => send("b1")));
            expect(answers.every(answer => answer.outcome === Outcome.Answer)).toBe(true);
            setFaults(TargetFault.SilentConnections);
            const answer = await send("b1", { deadlineMs: 20_000 });
            setFaults(TargetFault.None);
            expect(answer.outcome).toBe(Outcome.Answer);
        });
    });

    describe("with requests marked unrepeatable", () => {
        it("runs one id once and gives its answer again through any entry", async () => {
            const options = { requestId: "payout-1", isUnrepeatable: true, body: "{}" };
            const first = await send("a1", options);
            expect(first.outcome).toBe(Outcome.Answer);
            await fleet.waitUntil(
                "the recorded answer",
                async () => (await send("c2", options)).outcome === Outcome.Answer,
            );
            const again = await send("b2", options);
            expect(again.body).toBe(first.body);
            expect(site.runs.filter(run => run.requestId === "payout-1")).toHaveLength(1);
        });

        it("refuses the same id for other content", async () => {
            const answer = await send("b1", { requestId: "payout-1", isUnrepeatable: true, body: "{ }" });
            expect(answer).toMatchObject({ status: 409, outcome: Outcome.NotRun });
        });

        it("says that the outcome is unknown after the entry was killed in the middle", async () => {
            site.targets.forEach(({ target }) => target.setFault(TargetFault.Late));
            const options = { requestId: "payout-2", isUnrepeatable: true, body: "{}" };
            const lost = send("c2", options);
            await fleet.waitUntil("the dispatch", () => site.runs.some(run => run.requestId === "payout-2"));
            await fleet.sendSignal("c2", "SIGKILL");
            expect((await lost).outcome).toBeUndefined();
            site.targets.forEach(({ target }) => target.setFault(TargetFault.None));
            const again = await send("a2", options);
            expect(again.outcome).toBe(Outcome.OutcomeUnknown);
            expect(site.runs.filter(run => run.requestId === "payout-2")).toHaveLength(1);
            fleet.startProcess("c2");
            await fleet.waitUntil("c2 serves", async () => (await send("c2")).outcome === Outcome.Answer);
        });
    });

    describe("when the leader is killed", () => {
        it("goes on without losing a change, and gives a resent change the same answer", async () => {
            const change = {
                changeId: "change-before-kill",
                edits: [{ kind: "team", name: "late", value: { share: 1, upperLimit: 1, isolatedService: "refuse" } }],
            };
            const before = await fleet.sendOperate("POST", "/v1/changes", change);
            const leader = await fleet.findLeader();
            await fleet.sendSignal(leader, "SIGKILL");
            await fleet.waitUntil("another leader", async () => {
                const answer = await fleet.sendOperate("POST", "/v1/changes", change);
                return answer?.status === 200 && answer.body["revision"] === before?.body["revision"];
            });
            fleet.startProcess(leader);
            await fleet.waitUntil("the old leader serves", async () => (await send(leader)).outcome === Outcome.Answer);
        });
    });

    describe("when operators race", () => {
        it("accepts one of two changes based on one revision and names it to the other", async () => {
            const base = (await fleet.sendOperate("GET", "/v1/tables"))?.body["revision"];
            const edit = (share: number) => ({
                kind: "team",
                name: "late",
                value: { share, upperLimit: 1, isolatedService: "refuse" },
            });
            const answers = await Promise.all(
                [2, 3].map(share =>
                    fleet.sendOperate("POST", "/v1/changes", {
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
            fleet.setLinks(LinkState.Cut, "c");
            await fleet.sendChange([{ kind: "key" as never, name: "key-spas" }]);
            await fleet.waitUntil(
                "the refusal in the cut-off zone",
                async () => (await send("c2")).outcome === Outcome.NotRun,
            );
            const open = await send("c2", { route: "hours", key: undefined });
            expect(open.outcome).toBe(Outcome.Answer);
            const unrecorded = await send("c2", { route: "hours", key: undefined, isUnrepeatable: true });
            expect(unrecorded.outcome).toBe(Outcome.OutcomeUnknown);
            fleet.setLinks(LinkState.Open, "c");
            await createKey("key-spas-2");
            await fleet.waitUntil(
                "service with the new key",
                async () => (await send("c2")).outcome === Outcome.Answer,
            );
        });

        it("reaches the leader through another entry when only some links are cut", async () => {
            const leader = await fleet.findLeader();
            const zone = leader[0] ?? "";
            const other = ["a", "b", "c"].find(candidate => candidate !== zone) ?? "";
            fleet.setLinks(LinkState.Cut, zone, other);
            await fleet.sendChange([{ kind: "key" as never, name: "key-spas-2" }]);
            await fleet.waitUntil(
                "the revocation behind the cut",
                async () => (await send(`${other}2`)).status === 401,
            );
            await createKey("key-spas-3");
            await fleet.waitUntil(
                "the new key behind the cut",
                async () => (await send(`${other}2`)).outcome === Outcome.Answer,
            );
            fleet.setLinks(LinkState.Open, zone, other);
        });
    });

    describe("when a target leaves", () => {
        it("is released only after every entry stopped sending, and no request is cut off", async () => {
            const target = site.findTarget("front-b1");
            const answers: Promise<{ outcome: Outcome | undefined }>[] = [];
            const timer = setInterval(() => answers.push(send("b1"), send("b2"), send("a2")), 10);
            await target?.stopGracefully();
            const released = performance.now();
            await new Promise(resolve => setTimeout(resolve, 300));
            clearInterval(timer);
            for (const answer of await Promise.all(answers)) {
                expect(answer.outcome).toBe(Outcome.Answer);
            }
            const late = site.runs.filter(run => run.vm === "front-b1" && run.startedAt > released);
            expect(late).toHaveLength(0);
        });
    });

    describe("when an entry is stopped", () => {
        it("finishes what it has and cuts off nothing", async () => {
            const answers: Promise<{ outcome: Outcome | undefined }>[] = [];
            for (let count = 0; count < 12; count++) {
                answers.push(send("a2"));
            }
            await fleet.sendSignal("a2", "SIGTERM");
            for (const answer of await Promise.all(answers)) {
                expect(answer.outcome).toBe(Outcome.Answer);
            }
            fleet.startProcess("a2");
            await fleet.waitUntil("a2 serves again", async () => (await send("a2")).outcome === Outcome.Answer);
        });
    });

    describe("for strangers", () => {
        it("takes no announcement and no operator's request without the token", async () => {
            const { targets, operators } = fleet.findProcess("a1");
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
            const response = await fetch(`http://${readEntry("a1")}/v1/routes/hours/`, {
                headers: { [HeaderName.DispatchId]: "forged" },
            });
            expect(response.headers.get(HeaderName.Outcome)).toBe(Outcome.Answer);
        });
    });
});
