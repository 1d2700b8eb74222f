import { JobPhase } from "@daisylock/core/jobs/job-phase.js";
import { createRandom } from "@daisylock/core/testing/create-random.js";
import { describe, expect, it } from "@jest/globals";

import { SimulatedFleet } from "../testing/simulated-fleet.js";

/** Number of starts that the platform allows of a task that crashes each target: two more after the third crash. */
const maxStarts = 5;
const runSeconds = 60;
const needs = { cpu: 500, memory: 10, gpu: 0 };
const innocent = { needs, durationMs: 600 };
const crashing = { needs, durationMs: 600, crashAfterMs: 5 };

interface CrashLoopOptions {
    readonly isVmServiceUp: boolean;
    readonly isLeaderReplaced: boolean;
    readonly crashDownMs?: number;
    /** Number of tasks that crash their targets. */
    readonly crashingCount?: number;
}

/** Plays tasks that crash their targets among innocent ones. */
async function runCrashLoop(
    seed: number,
    { isVmServiceUp, isLeaderReplaced, crashDownMs, crashingCount = 1 }: CrashLoopOptions,
) {
    const fleet = new SimulatedFleet(createRandom(seed));
    fleet.isVmServiceUp = isVmServiceUp;
    fleet.crashDownMs = crashDownMs ?? fleet.crashDownMs;
    fleet.start();
    await fleet.clock.runFor(700);
    const jobs = [fleet.addJob(innocent, 6, 1)];
    const crashingJobs = Array.from({ length: crashingCount }, () => fleet.addJob(crashing, 1, 1));
    for (let second = 0; second < runSeconds; second++) {
        if (second < 6) {
            jobs.push(fleet.addJob(innocent, 3, 1));
        }
        if (isLeaderReplaced && second % 2 === 0 && second < 10) {
            fleet.keeper.startTerm(100);
        }
        await fleet.clock.runFor(1_000);
    }
    await fleet.stop();
    return {
        starts: crashingJobs.map(id => fleet.monitor.countStarts(`${id}.0.0.0`)),
        phases: crashingJobs.map(id => fleet.readJobPhase(id)),
        others: jobs.map(id => fleet.readJobPhase(id)),
        violations: fleet.monitor.violations,
    };
}

describe("a task that crashes each target that starts it", () => {
    const seeds = [1, 2, 3];

    async function checkCrashLoop(options: CrashLoopOptions): Promise<void> {
        for (const seed of seeds) {
            const { starts, phases, others, violations } = await runCrashLoop(seed, options);
            expect(Math.max(...starts)).toBeLessThanOrEqual(maxStarts);
            expect(phases.filter(phase => phase !== JobPhase.Failed)).toEqual([]);
            expect(others.filter(other => other !== JobPhase.Completed)).toEqual([]);
            expect(violations).toEqual([]);
        }
    }

    it("is given up before it has crashed target after target", () =>
        checkCrashLoop({ isVmServiceUp: true, isLeaderReplaced: false }));

    it("is given up when each leader knows only the crashes that were recorded", () =>
        checkCrashLoop({ isVmServiceUp: true, isLeaderReplaced: true }));

    // The tasks beside them are lost with each target, and all of them have to end nevertheless.
    it("is given up like others that come at the same time, also when the leader is replaced", () =>
        checkCrashLoop({ isVmServiceUp: true, isLeaderReplaced: true, crashingCount: 3 }));

    it("is given up when crashes are known only from the targets that start again under their ids", () =>
        checkCrashLoop({ isVmServiceUp: false, isLeaderReplaced: false }));

    it("is given up when its runs were released by their leases before the crashes were known", () =>
        checkCrashLoop({ isVmServiceUp: false, isLeaderReplaced: false, crashDownMs: 8_000 }));
});
