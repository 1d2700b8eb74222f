import { describe, expect, it } from "@jest/globals";

import { BurstHistory } from "./burst-history.js";

const pools = ["a", "b", "c"];

describe("the reserves of pools whose bursts rotate", () => {
    it("are equal before any burst was recorded", () => {
        const history = new BurstHistory();
        const reserves = pools.map(pool => history.computeReserve(pool, pools, 0));
        expect(new Set(reserves).size).toBe(1);
        expect(reserves[0]).toBeGreaterThan(0);
    });

    it("go to the pools that have had no burst yet", () => {
        const history = new BurstHistory();
        history.recordDemand("a", 2, 0);
        expect(history.computeReserve("a", pools, 5_000)).toBe(0);
        expect(history.computeReserve("b", pools, 5_000)).toBeGreaterThan(0);
    });

    it("go to the pool whose burst is longest ago once each has had one", () => {
        const history = new BurstHistory();
        pools.forEach((pool, position) => history.recordDemand(pool, 2, position * 10_000));
        const reserves = pools.map(pool => history.computeReserve(pool, pools, 25_000));
        expect(reserves[0]).toBeGreaterThan(0.3);
        expect(reserves.slice(1)).toEqual([0, 0]);
    });

    it("exclude the pool that has a burst now", () => {
        const history = new BurstHistory();
        pools.forEach(pool => history.recordDemand(pool, 2, 0));
        expect(history.computeReserve("a", pools, 100)).toBe(0);
    });
});

const gapMs = 10_000;
const rotating = ["a", "b"];

/** Demand of a burst that rises for 3 s and falls for 3 s. */
function computeShare(sinceMs: number): number {
    return Math.max(0, 3 - Math.abs(sinceMs - 3_000) / 1_000);
}

/** Records bursts of two pools in turn until a time. */
function recordBursts(history: BurstHistory, untilMs: number, computePoolShare = computeRotation): void {
    for (let now = 0; now <= untilMs; now += 100) {
        for (const pool of rotating) {
            history.recordDemand(pool, computePoolShare(pool, now), now);
        }
    }
}

function computeRotation(pool: string, now: number): number {
    return computeShare((now - gapMs * rotating.indexOf(pool)) % (2 * gapMs));
}

describe("the demand that earlier bursts let expect", () => {
    it("is none in the first burst of a pool", () => {
        const history = new BurstHistory();
        recordBursts(history, 12_000);
        expect(history.computeExpectedShare("b", 13_800, 12_000)).toBe(0);
    });

    it("is known before a burst begins that follows another pool's burst as the last time", () => {
        const history = new BurstHistory();
        const now = 3 * gapMs - 500;
        recordBursts(history, now);
        for (const aheadMs of [500, 1_800, 3_000]) {
            const expected = history.computeExpectedShare("b", now + aheadMs, now);
            expect(Math.abs(expected - computeRotation("b", now + aheadMs))).toBeLessThan(0.2);
        }
    });

    it("is known before the second burst of the first pool of all, which follows the last one's", () => {
        const history = new BurstHistory();
        const now = 2 * gapMs - 500;
        recordBursts(history, now);
        const expected = history.computeExpectedShare("a", now + 1_800, now);
        expect(Math.abs(expected - computeRotation("a", now + 1_800))).toBeLessThan(0.2);
    });

    it("takes the course of the last burst of the pool while one is under way", () => {
        const history = new BurstHistory();
        const now = 3 * gapMs + 1_500;
        recordBursts(history, now);
        expect(history.computeExpectedShare("b", now + 1_500, now)).toBeGreaterThan(2.8);
        expect(history.computeExpectedShare("b", now + 6_000, now)).toBeLessThan(0.2);
    });

    it("is none a while after a burst was due that has not come", () => {
        const history = new BurstHistory();
        const lastMs = 3 * gapMs;
        const now = lastMs + 5_000;
        recordBursts(history, now, (pool, at) => pool === "b" && at > lastMs - 1_000 ? 0 : computeRotation(pool, at));
        expect(history.computeExpectedShare("b", now, now)).toBe(0);
    });
});
