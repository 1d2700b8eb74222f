import { RunOutcome } from "@daisylock/core/jobs/run-outcome.js";
import { createTargetTable } from "@daisylock/core/targets/create-target-table.js";
import type { TargetRecord } from "@daisylock/core/targets/target-record.js";
import { buildTestFleet } from "@daisylock/core/testing/build-test-fleet.js";
import { describe, expect, it, jest } from "@jest/globals";
import fc from "fast-check";

import { FakeTargetClient } from "../testing/fake-target-client.js";
import { ManualClock } from "../testing/manual-clock.js";
import { StalledTaskRegistry } from "./stalled-task-registry.js";
import { TargetSessions } from "./target-sessions.js";

function createFixture(targetCount = 2) {
    const clock = new ManualClock();
    const { fleet } = buildTestFleet(targetCount, { cpu: 4_000, memory: 1_000, gpu: 0 });
    const client = new FakeTargetClient(clock, 0);
    const sessions = new TargetSessions({
        leadership: {
            isActive: () => true,
            readFleet: () => fleet,
            readStartedAt: () => 0,
            recordCommand: async () => undefined,
            scheduleCommand: async () => undefined,
        },
        client,
        reports: { findReport: () => undefined },
        clock,
        log: { record: () => undefined },
        maxLeaseMs: 6_000,
        readUtilization: () => 0,
        findTargetEnding: () => undefined,
        stalledTasks: new StalledTaskRegistry(),
        mayEjectSlow: () => true,
        estimateTask: () => undefined,
        findTicket: () => "",
        handleRejectedTicket: () => undefined,
        handleUnansweredRequest: () => undefined,
        startScheduling: () => undefined,
        noteRunBegun: () => undefined,
        handleRunEnd: () => undefined,
        noteEnds: () => undefined,
    });
    return { clock, client, fleet, sessions };
}

describe("TargetSessions", () => {
    it("keeps its sessions through a lapse of the lease and closes them once another leadership is known", async () => {
        const { clock, client, fleet, sessions } = createFixture();
        sessions.update(fleet.targets, 3);
        const session = sessions.find("t0");
        sessions.closeEarlier(3);
        expect(sessions.find("t0")).toBe(session);
        sessions.closeEarlier(4);
        expect(sessions.find("t0")).toBeUndefined();
        await clock.runFor(100);
        const renewalCount = client.renewals.length;
        await clock.runFor(20_000);
        expect(client.renewals).toHaveLength(renewalCount);
    });

    // The session of a restarted target was fenced for good by a question about a heartbeat that came while it was opened.
    it("have a higher token for each incarnation, and none is taken that would fence the session that serves it", async () => {
        const { clock, client, fleet, sessions } = createFixture();
        expect(sessions.takeFencingToken({ id: "t0", incarnation: 2 }, 3)).toBeUndefined();
        sessions.update(fleet.targets, 3);
        const record = fleet.targets.get("t0");
        expect(record).toBeDefined();
        const restarted = { ...record, id: "t0", incarnation: 2 } as NonNullable<typeof record>;
        expect(sessions.takeFencingToken(restarted, 4)).toBeUndefined();
        expect(sessions.takeFencingToken(restarted, 3)).toBe(4);
        expect(sessions.readFencingToken("t0", 3)).toBe(4);
        fleet.targets.set("t0", restarted);
        client.renewals.length = 0;
        sessions.update(fleet.targets, 3);
        expect(sessions.takeFencingToken(restarted, 3)).toBeUndefined();
        await clock.runFor(10);
        expect(client.renewals.some(({ fencingToken }) => fencingToken === 5)).toBe(true);
        expect(sessions.readFencingToken("t0", 3)).toBe(5);
        expect(sessions.readFencingToken("t1", 3)).toBe(3);
        sessions.closeAll();
    });

    it("opens a session again for a target that was removed and has reported again before the next round", () => {
        const { fleet, sessions } = createFixture();
        sessions.update(fleet.targets, 3);
        const session = sessions.find("t0");
        session?.close();
        sessions.update(fleet.targets, 3);
        expect(sessions.find("t0") === session).toBe(false);
        sessions.closeAll();
    });

    it("has an open session of this leadership for each recorded incarnation, whatever has changed", () => {
        const change = fc.record({
            kind: fc.constantFrom("none", "record", "restart", "remove", "clear", "close", "lapse", "term", "snapshot"),
            id: fc.nat(5).map(number => `t${number}`),
        });
        fc.assert(fc.property(fc.array(change, { maxLength: 40 }), changes => {
            const { fleet, sessions } = createFixture(4);
            let { targets } = fleet;
            const template = targets.get("t0") as TargetRecord;
            let token = 3;
            sessions.update(targets, token);
            for (const { kind, id } of changes) {
                const record = targets.get(id);
                switch (kind) {
                    case "record":
                        targets.set(id, record ?? { ...template, id });
                        break;
                    case "restart":
                        targets.set(id, { ...template, id, incarnation: (record?.incarnation ?? 0) + 1 });
                        break;
                    case "remove":
                        targets.delete(id);
                        break;
                    case "clear":
                        targets.clear();
                        break;
                    case "close":
                        sessions.find(id)?.close();
                        break;
                    case "lapse":
                        sessions.closeAll();
                        break;
                    case "term":
                        token += 1;
                        sessions.closeEarlier(token);
                        break;
                    case "snapshot": {
                        const copy = createTargetTable();
                        [...targets].filter(([other]) => other !== id).forEach(([other, target]) =>
                            copy.set(other, target)
                        );
                        targets = copy;
                    }
                }
                sessions.update(targets, token);
                const open = [...sessions.list()].filter(([, session]) => session.isOpen())
                    .map(([other, session]) => `${other} ${session.record.incarnation}`);
                expect(open.sort()).toEqual(
                    [...targets.values()].map(target => `${target.id} ${target.incarnation}`).sort(),
                );
                expect(sessions.list().size).toBe(targets.size);
            }
            sessions.closeAll();
        }));
    });

    // Each round compared the sessions with all targets, 10 to 18 ms of a second of the leader.
    it("visits no target in a round while none has changed", () => {
        const { fleet, sessions } = createFixture(378);
        sessions.update(fleet.targets, 3);
        const visits = jest.fn();
        for (const name of ["get", "has", "entries", "values", "keys", "forEach", Symbol.iterator] as const) {
            jest.spyOn(fleet.targets, name as "get").mockImplementation((id: string) => {
                visits();
                return (Map.prototype[name as "get"] as (id: string) => never).call(fleet.targets, id);
            });
        }
        sessions.list().forEach(session =>
            jest.spyOn(session, "isOpen").mockImplementation(() => {
                visits();
                return true;
            })
        );
        sessions.update(fleet.targets, 3);
        expect(visits).not.toHaveBeenCalled();
        jest.restoreAllMocks();
        sessions.closeAll();
    });

    describe("after a target left a request unanswered", () => {
        const targetCount = 76;

        function createZone() {
            const fixture = createFixture(targetCount);
            fixture.sessions.update(fixture.fleet.targets, 3);
            const [suspect, ...others] = [...fixture.fleet.targets.values()];
            const checkZone = async () => {
                for (let times = 0; times < 20 && suspect !== undefined; times++) {
                    await fixture.sessions.checkZoneReachable(suspect);
                }
            };
            return { ...fixture, suspect, others, checkZone };
        }

        // 60 unanswered starts in five seconds had 1,000 targets a second checked, and took them out of placement meanwhile.
        it("check few others while these respond", async () => {
            const { client, sessions, suspect, checkZone } = createZone();
            client.unreachableTargets.add(suspect?.id ?? "");
            await checkZone();
            expect(client.checkCount).toBeLessThan(20 * targetCount / 4);
            sessions.closeAll();
        });

        it("check the zone once for targets that are lost, and not again while these are known", async () => {
            const { client, others, checkZone, sessions } = createZone();
            others.filter((_, position) => position % 2 === 0).forEach(({ id }) => client.unreachableTargets.add(id));
            await checkZone();
            expect(client.checkCount).toBeLessThan(targetCount + 20 * targetCount / 4);
            sessions.closeAll();
        });

        it("find every target of a zone that is cut off at once", async () => {
            const { client, sessions, suspect, others } = createZone();
            others.forEach(({ id }) => client.unreachableTargets.add(id));
            client.unreachableTargets.add(suspect?.id ?? "");
            await sessions.checkZoneReachable(suspect ?? { id: "", zone: "" });
            expect(client.checkCount).toBe(targetCount);
            sessions.closeAll();
        });

        it("check different others each time", async () => {
            const { client, others, checkZone, sessions } = createZone();
            others.filter((_, position) => position % 3 === 0).forEach(({ id }) => client.unreachableTargets.add(id));
            await checkZone();
            expect(client.checkCount).toBeGreaterThan(targetCount);
            sessions.closeAll();
        });
    });

    describe("the bound on targets that are ejected as slow", () => {
        /** Ejects targets one after the other, as long as the bound allows it, and lets them become half-open. */
        async function countEjections(targetCount: number): Promise<number> {
            const { clock, fleet, sessions } = createFixture(targetCount);
            sessions.update(fleet.targets, 3);
            let ejections = 0;
            for (const session of sessions.list().values()) {
                if (sessions.isEjectionAllowed("web")) {
                    const ends = ["a", "b", "c"].map(job => ({
                        task: `${job}.0.0.0`,
                        run: 1,
                        how: RunOutcome.Failed,
                        saved: "",
                    }));
                    session.noteRunEnds(ends.map(end => ({ ...end, target: session.record.id })));
                    ejections += 1;
                    await clock.runFor(2_500);
                }
            }
            sessions.closeAll();
            return ejections;
        }

        // Only those that were slow at the moment counted, so that one target after the other was ejected.
        it("counts those that are being tried again", async () => {
            expect(await countEjections(4)).toBe(1);
        });

        // A pool of three lost two targets to it and a pool of one its only one.
        it.each([[1, 0], [2, 1], [3, 1], [5, 1], [6, 2], [12, 4]])("of %d targets is %d", async (targets, count) => {
            const { fleet, sessions } = createFixture(targets);
            sessions.update(fleet.targets, 3);
            const ejected = [...sessions.list().values()].filter(session => {
                const isAllowed = sessions.isEjectionAllowed("web");
                jest.spyOn(session, "isEjected").mockReturnValue(isAllowed);
                return isAllowed;
            });
            expect(ejected.length).toBe(count);
            sessions.closeAll();
        });
    });
});
