import { describe, expect, it } from "@jest/globals";

import { createRandom } from "../testing/create-random.js";
import { SlowTargetDetector } from "./slow-target-detector.js";

/** Tasks of many jobs that run side by side, with guesses that are off, on a target that works at a given factor. */
function runTasks(factor: number, seed: number, guessSpread: number): boolean {
    const random = createRandom(seed);
    const speed = new SlowTargetDetector();
    const tasks = Array.from({ length: 12 }, (_, index) => {
        const tookMs = 300 + random() * 900;
        const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
        return { job: `j${index}`, tookMs, expectedMs: tookMs * Math.exp(guessSpread * normal), beganAt: index * 150 };
    });
    let wasSlow = false;
    for (let now = 0; now < 6_000; now += 250) {
        for (const { job, tookMs, expectedMs, beganAt } of tasks) {
            const elapsedMs = now - beganAt;
            const percent = Math.min(100, 100 * elapsedMs / (tookMs * factor));
            if (elapsedMs > 0 && percent < 100) {
                speed.recordProgress({ job, expectedMs, elapsedMs, percent: Math.floor(percent) }, now);
            }
        }
        wasSlow ||= speed.isSlow(now);
    }
    return wasSlow;
}

const seeds = Array.from({ length: 20 }, (_, seed) => seed);

describe("the speed of a target", () => {
    it("shows a target that works six times slower, although guesses are off", () => {
        expect(seeds.filter(seed => runTasks(6.5, seed, 0.5)).length).toBeGreaterThan(18);
    });

    it("does not blame a sound target for guesses that are off", () => {
        expect(seeds.filter(seed => runTasks(1, seed, 0.5))).toEqual([]);
        expect(seeds.filter(seed => runTasks(1, seed, 0.9)).length).toBeLessThanOrEqual(1);
    });

    it("does not judge by one job, whatever it takes", () => {
        const speed = new SlowTargetDetector();
        for (let now = 0; now < 3_000; now += 100) {
            speed.recordProgress({ job: "a", expectedMs: 10, elapsedMs: now, percent: 1 }, now);
        }
        expect(speed.isSlow(3_000)).toBe(false);
    });

    it("forgets what was long ago", () => {
        const speed = new SlowTargetDetector();
        ["a", "b", "c", "d"].forEach(job =>
            speed.recordProgress({ job, expectedMs: 10, elapsedMs: 100, percent: 50 }, 0)
        );
        expect(speed.isSlow(100)).toBe(true);
        expect(speed.isSlow(5_000)).toBe(false);
    });
});
