import { CommandKind } from "@daisylock/core/control/command-kind.js";
import { applyRecordStarts } from "@daisylock/core/jobs/apply-record-starts.js";
import { RunOutcome } from "@daisylock/core/jobs/run-outcome.js";
import { addTestJob } from "@daisylock/core/testing/add-test-job.js";
import { buildTestFleet } from "@daisylock/core/testing/build-test-fleet.js";
import { buildTestStep } from "@daisylock/core/testing/build-test-step.js";
import { describe, expect, it } from "@jest/globals";

import { ManualClock } from "../testing/manual-clock.js";
import { StalledTaskRegistry } from "./stalled-task-registry.js";
import { TargetHealthMonitor } from "./target-health-monitor.js";

const expectedMs = 500;
const jobs = ["a", "b", "c", "d"];

function createFixture(mayEject = true) {
    const clock = new ManualClock();
    const state = buildTestFleet(1, { cpu: 8_000, memory: 1_000, gpu: 0 });
    jobs.forEach(job => addTestJob(state, job, [buildTestStep()]));
    const target = state.fleet.targets.get("t0");
    if (target === undefined) {
        throw new TypeError("the test fleet has no target");
    }
    const stalledTasks = new StalledTaskRegistry();
    const createMonitor = (id: string) =>
        new TargetHealthMonitor({ ...target, id }, {
            leadership: { readFleet: () => state.fleet } as never,
            clock,
            log: { record: () => undefined },
            estimateTask: () => expectedMs,
            stalledTasks,
            mayEjectSlow: () => mayEject,
        });
    const monitor = createMonitor(target.id);
    const collectTasks = (percent: number, elapsedMs: number) =>
        monitor.collectTasksToMove(
            jobs.map(job => ({ task: `${job}.0.0.0`, run: 1, saved: "", percent, load: 0 })),
            () => elapsedMs,
        );
    return { clock, state, monitor, createMonitor, collectTasks };
}

describe("TargetHealthMonitor", () => {
    it("ejects a target that has become slow and stops tasks that would finish sooner elsewhere", async () => {
        const { clock, monitor, collectTasks } = createFixture();
        expect(collectTasks(50, 300)).toEqual([]);
        expect(monitor.countStartsLeft()).toBe(Number.POSITIVE_INFINITY);
        await clock.runFor(500);
        expect(collectTasks(20, 600).map(({ task }) => task)).toHaveLength(jobs.length);
        expect(monitor.countStartsLeft()).toBe(0);
    });

    it("lets nearly finished tasks end on a slow target", () => {
        const { monitor, collectTasks } = createFixture();
        expect(collectTasks(90, 3_000)).toEqual([]);
        expect(monitor.isEjected()).toBe(true);
    });

    it("ejects no target while many targets of the pool seem slow, as the estimates are then wrong", () => {
        const { monitor, collectTasks } = createFixture(false);
        expect(collectTasks(20, 600)).toEqual([]);
        expect(monitor.countStartsLeft()).toBe(Number.POSITIVE_INFINITY);
    });

    it("admits one task at a time after the ejection and all again after a quick run", async () => {
        const { clock, monitor, collectTasks } = createFixture();
        collectTasks(20, 600);
        await clock.runFor(4_500);
        expect(monitor.countStartsLeft()).toBe(1);
        monitor.noteRunEnd("a.0.0.0", RunOutcome.Done);
        expect(monitor.countStartsLeft()).toBe(Number.POSITIVE_INFINITY);
    });

    // The long-running task took the only place of the trial, so that the target was never tried again and its pool was lost.
    it("tries a target again on which a long-running task runs", async () => {
        const { clock, state, monitor, collectTasks } = createFixture();
        addTestJob(state, "lasting", [buildTestStep({ isLongRunning: true })]);
        const starts = [{ task: "lasting.0.0.0", run: 1, target: "t0" }, { task: "a.0.0.0", run: 1, target: "t0" }];
        applyRecordStarts(state, { kind: CommandKind.RecordStarts, starts: starts.slice(0, 1) });
        collectTasks(20, 600);
        expect([monitor.isEjected(), monitor.countStartsLeft()]).toEqual([true, 0]);
        await clock.runFor(4_500);
        expect(monitor.countStartsLeft()).toBe(1);
        applyRecordStarts(state, { kind: CommandKind.RecordStarts, starts: starts.slice(1) });
        expect([monitor.isEjected(), monitor.countStartsLeft()]).toEqual([true, 0]);
    });

    it("does not eject target after target for a task that stalls wherever it runs, and still moves it", async () => {
        const { clock, createMonitor } = createFixture();
        async function runStalled(id: string, task: string) {
            const monitor = createMonitor(id);
            const collectStalled = () =>
                monitor.collectStalledTasks([{ task, run: 1, saved: "", percent: 5, load: 0 }], () => false);
            collectStalled();
            await clock.runFor(4_000);
            return { movedCount: collectStalled().length, startsLeft: monitor.countStartsLeft() };
        }
        expect(await runStalled("t0", "a.0.0.0")).toEqual({ movedCount: 1, startsLeft: 0 });
        expect(await runStalled("t1", "a.0.0.0")).toEqual({ movedCount: 1, startsLeft: Number.POSITIVE_INFINITY });
        expect(await runStalled("t2", "b.0.0.0")).toEqual({ movedCount: 1, startsLeft: 0 });
    });
});
