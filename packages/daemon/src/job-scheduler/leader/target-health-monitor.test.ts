import { RunOutcome } from "@daisylock/core/jobs/run-outcome.js";
import { addTestJob } from "@daisylock/core/testing/add-test-job.js";
import { buildTestFleet } from "@daisylock/core/testing/build-test-fleet.js";
import { buildTestStep } from "@daisylock/core/testing/build-test-step.js";
import { describe, expect, it } from "@jest/globals";

import { ManualClock } from "../testing/manual-clock.js";
import { TargetHealthMonitor } from "./target-health-monitor.js";

const expectedMs = 500;
const jobs = ["a", "b", "c", "d"];

function createFixture(mayBeSlow = true) {
    const clock = new ManualClock();
    const state = buildTestFleet(1, { cpu: 8_000, memory: 1_000, gpu: 0 });
    jobs.forEach(job => addTestJob(state, job, [buildTestStep()]));
    const target = state.fleet.targets.get("t0");
    if (target === undefined) {
        throw new TypeError("the test fleet has no target");
    }
    const watch = new TargetHealthMonitor(target, {
        leadership: { readFleet: () => state.fleet } as never,
        clock,
        log: { record: () => undefined },
        estimateTask: () => expectedMs,
        mayEjectSlow: () => mayBeSlow,
    });
    const list = (percent: number, elapsedMs: number) =>
        watch.collectTasksToMove(
            jobs.map(job => ({ task: `${job}.0.0.0`, run: 1, saved: "", percent, load: 0 })),
            () => elapsedMs,
        );
    return { clock, watch, list };
}

describe("the watch over a target's health", () => {
    it("leaves out a target that has turned slow, and stops what would end sooner elsewhere", async () => {
        const { clock, watch, list } = createFixture();
        expect(list(50, 300)).toEqual([]);
        expect(watch.countStartsLeft(4)).toBe(Number.POSITIVE_INFINITY);
        await clock.runFor(500);
        expect(list(20, 600).map(({ task }) => task)).toHaveLength(jobs.length);
        expect(watch.countStartsLeft(0)).toBe(0);
    });

    it("lets nearly done tasks end where they are", () => {
        const { watch, list } = createFixture();
        expect(list(90, 3_000)).toEqual([]);
        expect(watch.isSlow).toBe(true);
    });

    it("leaves nothing out while many of the pool seem slow: then the expectation is wrong", () => {
        const { watch, list } = createFixture(false);
        expect(list(20, 600)).toEqual([]);
        expect(watch.countStartsLeft(4)).toBe(Number.POSITIVE_INFINITY);
    });

    it("tries the target with one task at a time and trusts it again once that was quick", async () => {
        const { clock, watch, list } = createFixture();
        list(20, 600);
        await clock.runFor(4_500);
        expect(watch.countStartsLeft(0)).toBe(1);
        watch.noteRunEnd("a.0.0.0", RunOutcome.Done);
        expect(watch.countStartsLeft(0)).toBe(Number.POSITIVE_INFINITY);
    });
});
