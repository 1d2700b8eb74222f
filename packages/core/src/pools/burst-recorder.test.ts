import { describe, expect, it } from "@jest/globals";

import { BurstRecorder } from "./burst-recorder.js";

const gapMs = 10_000;
const pools = ["a", "b"];

/** Demand of a burst that rises for 3 s and falls for 3 s. */
function computeShare(sinceMs: number): number {
    return Math.max(0, 3 - Math.abs(sinceMs - 3_000) / 1_000);
}

/** Records bursts of two pools in turn until a time. */
function recordBursts(recorder: BurstRecorder, untilMs: number, computePoolShare = computeRotation): void {
    for (let now = 0; now <= untilMs; now += 100) {
        for (const pool of pools) {
            recorder.recordDemand(pool, computePoolShare(pool, now), now);
        }
    }
}

function computeRotation(pool: string, now: number): number {
    return computeShare((now - gapMs * pools.indexOf(pool)) % (2 * gapMs));
}

describe("the demand that earlier bursts let expect", () => {
    it("is none in the first burst of a pool", () => {
        const recorder = new BurstRecorder();
        recordBursts(recorder, 12_000);
        expect(recorder.computeExpectedShare("b", 13_800, 12_000)).toBe(0);
    });

    it("is known before a burst begins that follows another pool's burst as the last time", () => {
        const recorder = new BurstRecorder();
        const now = 3 * gapMs - 500;
        recordBursts(recorder, now);
        for (const aheadMs of [500, 1_800, 3_000]) {
            const expected = recorder.computeExpectedShare("b", now + aheadMs, now);
            expect(Math.abs(expected - computeRotation("b", now + aheadMs))).toBeLessThan(0.2);
        }
    });

    it("takes the course of the last burst of the pool while one is under way", () => {
        const recorder = new BurstRecorder();
        const now = 3 * gapMs + 1_500;
        recordBursts(recorder, now);
        expect(recorder.computeExpectedShare("b", now + 1_500, now)).toBeGreaterThan(2.8);
        expect(recorder.computeExpectedShare("b", now + 6_000, now)).toBeLessThan(0.2);
    });

    it("is none a while after a burst was due that has not come", () => {
        const recorder = new BurstRecorder();
        const lastMs = 3 * gapMs;
        const now = lastMs + 5_000;
        recordBursts(recorder, now, (pool, at) => pool === "b" && at > lastMs - 1_000 ? 0 : computeRotation(pool, at));
        expect(recorder.computeExpectedShare("b", now, now)).toBe(0);
    });
});
