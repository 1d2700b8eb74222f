import { describe, expect, it } from "@jest/globals";
import fc from "fast-check";

import { HealthState } from "../health/health-state.js";
import { RefusalReason } from "../outcomes/refusal-reason.js";
import { createRandom } from "../testing/create-random.js";
import { addRequest } from "./add-request.js";
import type { AdmissionState } from "./admission-state.js";
import { applySlotAllowance } from "./apply-slot-allowance.js";
import { createAdmissionState } from "./create-admission-state.js";
import type { Dispatch } from "./dispatch.js";
import { releaseAbandonedRequest } from "./release-abandoned-request.js";
import { settleDispatch } from "./settle-dispatch.js";
import { takeDispatches } from "./take-dispatches.js";
import { takeExpiredRequests } from "./take-expired-requests.js";
import { TargetAvailability } from "./target-availability.js";

const pool = "front";

function createState(targets: number, slots: number, teams: Readonly<Record<string, number>>): AdmissionState {
    const state = createAdmissionState("a", 1_000);
    for (let number = 0; number < targets; number++) {
        const zone = number % 2 === 0 ? "a" : "b";
        const base = { vm: `vm-${number}`, pool, zone, incarnation: 1, address: `10.0.0.${number}:80` };
        applySlotAllowance(state, { ...base, state: TargetAvailability.Ready, allowed: slots });
    }
    for (const [team, allowed] of Object.entries(teams)) {
        state.teams.set(team, { allowed, inUse: 0 });
    }
    return state;
}

function addTestRequest(state: AdmissionState, team: string, now: number, overrides: object = {}) {
    return addRequest(
        state,
        { pool, team, isUrgent: false, deadlineAt: now + 10_000, maxQueueMs: 5_000, ...overrides },
        now,
    );
}

describe("admission", () => {
    describe("of one request", () => {
        it("prefers a target in the entry's own availability zone, then any other", () => {
            const state = createState(2, 1, { spas: 9 });
            addTestRequest(state, "spas", 0);
            addTestRequest(state, "spas", 0);
            expect(takeDispatches(state, pool, 0).map(({ target }) => target.zone)).toEqual(["a", "b"]);
        });

        it("starts no request on a leaving target", () => {
            const state = createState(1, 4, { spas: 9 });
            const target = state.targets.get("vm-0");
            if (target !== undefined) {
                target.state = TargetAvailability.Leaving;
            }
            addTestRequest(state, "spas", 0);
            expect(takeDispatches(state, pool, 0)).toEqual([]);
        });

        it("stops at the entry's portion of the team's limit even when slots are free", () => {
            const state = createState(2, 8, { spas: 3 });
            for (let count = 0; count < 10; count++) {
                addTestRequest(state, "spas", 0);
            }
            expect(takeDispatches(state, pool, 0)).toHaveLength(3);
        });

        it("keeps the slot and the unit of the limit of an abandoned request until it is released", () => {
            const state = createState(1, 1, { spas: 1 });
            addTestRequest(state, "spas", 0);
            const [dispatch] = takeDispatches(state, pool, 0);
            addTestRequest(state, "spas", 10);
            settleDispatch(state, dispatch as Dispatch, true, 20);
            expect(takeDispatches(state, pool, 20)).toEqual([]);
            releaseAbandonedRequest(state, dispatch as Dispatch);
            expect(takeDispatches(state, pool, 30)).toHaveLength(1);
        });
    });

    describe("under load", () => {
        it("refuses at once a request that could not end by its deadline, with a retry delay", () => {
            const state = createState(1, 1, { spas: 1 });
            const results = Array.from({ length: 40 }, () => addTestRequest(state, "spas", 0, { deadlineAt: 1_000 }));
            const refused = results.flatMap(result => "refused" in result ? [result.refused] : []);
            expect(refused.length).toBeGreaterThan(15);
            expect(refused[0]).toMatchObject({ reason: RefusalReason.Overloaded });
            expect(refused[0]?.retryAfterMs).toBeGreaterThan(0);
        });

        it("expires a waiting request early enough to leave time for the target's response", () => {
            const state = createState(1, 1, { spas: 1 });
            addTestRequest(state, "spas", 0, { deadlineAt: 1_000 });
            addTestRequest(state, "spas", 0, { deadlineAt: 1_000 });
            takeDispatches(state, pool, 0);
            expect(takeExpiredRequests(state, 800)).toHaveLength(0);
            expect(takeExpiredRequests(state, 850)).toHaveLength(1);
            expect(state.waiting).toBe(0);
        });

        it("starts urgent requests first, unless their team is far ahead of its share", () => {
            const state = createState(1, 1, { spas: 9, hotels: 9 });
            addTestRequest(state, "spas", 0);
            addTestRequest(state, "hotels", 0, { isUrgent: true });
            const [first] = takeDispatches(state, pool, 0);
            expect(first?.request.team).toBe("hotels");
            settleDispatch(state, first as Dispatch, false, 60_000);
            addTestRequest(state, "hotels", 60_000, { isUrgent: true });
            expect(takeDispatches(state, pool, 60_000)[0]?.request.team).toBe("spas");
        });

        it("approximates the shares with varying service times and a team that pauses", () => {
            const random = createRandom(5);
            const state = createState(2, 4, { gold: 99, silver: 99, bronze: 99 });
            const shares = { gold: 3, silver: 2, bronze: 1 };
            Object.entries(shares).forEach(([team, share]) => state.shares.set(team, share));
            const used: Record<string, number> = { gold: 0, silver: 0, bronze: 0 };
            const running: { dispatch: Dispatch; endsAt: number }[] = [];
            for (let now = 0; now < 60_000; now += 5) {
                for (const team of Object.keys(shares)) {
                    const isPaused = team === "bronze" && now < 20_000;
                    if (!isPaused && (state.pools.get(pool)?.queues.get(team)?.waiting ?? 0) < 10) {
                        addTestRequest(state, team, now);
                    }
                }
                for (const run of running.splice(0)) {
                    if (run.endsAt > now) {
                        running.push(run);
                        continue;
                    }
                    settleDispatch(state, run.dispatch, false, now);
                    if (now > 25_000) {
                        used[run.dispatch.request.team] = (used[run.dispatch.request.team] ?? 0) + now
                            - run.dispatch.startedAt;
                    }
                }
                for (const dispatch of takeDispatches(state, pool, now)) {
                    running.push({ dispatch, endsAt: now + 20 + random() * 200 });
                }
                takeExpiredRequests(state, now);
            }
            const total = Object.values(used).reduce((sum, ms) => sum + ms, 0);
            for (const [team, share] of Object.entries(shares)) {
                const deviation = Math.abs((used[team] ?? 0) / total - share / 6) / (share / 6);
                expect(deviation).toBeLessThan(0.05);
            }
        });
    });

    describe("with failing targets", () => {
        function runFailures(failingVms: readonly string[]): AdmissionState {
            const state = createState(4, 2, { spas: 99 });
            for (let now = 0; now < 900; now += 10) {
                addTestRequest(state, "spas", now);
                for (const dispatch of takeDispatches(state, pool, now)) {
                    settleDispatch(state, dispatch, false, now + 1);
                    const { health } = dispatch.target;
                    const isFailure = failingVms.includes(dispatch.target.vm);
                    health.consecutiveFailures = isFailure ? health.consecutiveFailures + 1 : 0;
                    if (health.consecutiveFailures >= 3) {
                        health.state = HealthState.Ejected;
                        health.ejectedUntil = 10_000;
                    }
                }
            }
            return state;
        }

        it("does not pick an ejected target that fails every request quickly", () => {
            const state = runFailures(["vm-0"]);
            addTestRequest(state, "spas", 1_000);
            expect(takeDispatches(state, pool, 1_000)[0]?.target.vm).not.toBe("vm-0");
        });

        it("ignores ejections when most targets fail, since the cause is then probably common", () => {
            const state = runFailures(["vm-0", "vm-1", "vm-2", "vm-3"]);
            addTestRequest(state, "spas", 1_000);
            expect(takeDispatches(state, pool, 1_000)).toHaveLength(1);
        });
    });

    describe("in random runs", () => {
        it("never uses more slots or units of a limit than allowed, and keeps the counts consistent", () => {
            const step = fc.record({ team: fc.constantFrom("spas", "hotels"), action: fc.nat(5), value: fc.nat(7) });
            fc.assert(
                fc.property(fc.array(step, { maxLength: 200 }), steps => {
                    const state = createState(3, 2, { spas: 4, hotels: 2 });
                    const running: Dispatch[] = [];
                    const abandoned: Dispatch[] = [];
                    steps.forEach(({ team, action, value }, number) => {
                        const now = number * 20;
                        const target = state.targets.get(`vm-${value % 3}`);
                        if (action <= 1) {
                            addTestRequest(state, team, now);
                        }
                        else if (action === 2 && running.length > 0) {
                            const [dispatch] = running.splice(value % running.length, 1);
                            const isStillRunning = value % 2 === 0;
                            settleDispatch(state, dispatch as Dispatch, isStillRunning, now);
                            if (isStillRunning) {
                                abandoned.push(dispatch as Dispatch);
                            }
                        }
                        else if (action === 3 && abandoned.length > 0) {
                            releaseAbandonedRequest(state, abandoned.pop() as Dispatch);
                        }
                        else if (action === 4 && target !== undefined) {
                            applySlotAllowance(state, { ...target, allowed: value % 4 });
                        }
                        else {
                            takeExpiredRequests(state, now);
                        }
                        running.push(...takeDispatches(state, pool, now));
                        const inUse = [...state.targets.values()].reduce((sum, { inUse }) => sum + inUse, 0);
                        const limits = [...state.teams.values()].reduce((sum, { inUse }) => sum + inUse, 0);
                        expect([inUse, limits]).toEqual(new Array(2).fill(running.length + abandoned.length));
                    });
                }),
                { seed: 11, numRuns: 200 },
            );
        });
    });
});
