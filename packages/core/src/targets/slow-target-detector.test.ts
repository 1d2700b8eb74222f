import { describe, expect, it } from "@jest/globals";

import { createRandom } from "../testing/create-random.js";
import { SlowTargetDetector } from "./slow-target-detector.js";

/** Runs tasks with inaccurate estimates on a target that is slower by a factor; returns whether it was detected. */
function runTasks(factor: number, seed: number, estimateSigma: number): boolean {
    const random = createRandom(seed);
    const detector = new SlowTargetDetector();
    const tasks = Array.from({ length: 12 }, (_, index) => {
        const tookMs = 300 + random() * 900;
        const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
        return {
            job: `j${index}`,
            tookMs,
            expectedMs: tookMs * Math.exp(estimateSigma * normal),
            startedAt: index * 150,
        };
    });
    let wasSlow = false;
    for (let now = 0; now < 6_000; now += 250) {
        for (const { job, tookMs, expectedMs, startedAt } of tasks) {
            const elapsedMs = now - startedAt;
            const percent = Math.min(100, 100 * elapsedMs / (tookMs * factor));
            if (elapsedMs > 0 && percent < 100) {
                detector.recordProgress({ job, expectedMs, elapsedMs, percent: Math.floor(percent) }, now);
            }
        }
        wasSlow ||= detector.isSlow(now);
    }
    return wasSlow;
}

const seeds = Array.from({ length: 20 }, (_, seed) => seed);

describe("the detector of slow targets", () => {
    it("detects a target that takes 6.5 times as long, although estimates are inaccurate", () => {
        expect(seeds.filter(seed => runTasks(6.5, seed, 0.5)).length).toBeGreaterThan(18);
    });

    it("does not report a healthy target because of inaccurate estimates", () => {
        expect(seeds.filter(seed => runTasks(1, seed, 0.5))).toEqual([]);
        expect(seeds.filter(seed => runTasks(1, seed, 0.9)).length).toBeLessThanOrEqual(1);
    });

    it("does not report a target because of a single job, however long it takes", () => {
        const detector = new SlowTargetDetector();
        for (let now = 0; now < 3_000; now += 100) {
            detector.recordProgress({ job: "a", expectedMs: 10, elapsedMs: now, percent: 1 }, now);
        }
        expect(detector.isSlow(3_000)).toBe(false);
    });

    it("drops old observations", () => {
        const detector = new SlowTargetDetector();
        ["a", "b", "c", "d"].forEach(job =>
            detector.recordProgress({ job, expectedMs: 10, elapsedMs: 100, percent: 50 }, 0)
        );
        expect(detector.isSlow(100)).toBe(true);
        expect(detector.isSlow(5_000)).toBe(false);
    });
});
