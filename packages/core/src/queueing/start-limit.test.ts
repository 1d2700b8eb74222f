import { describe, expect, it } from "@jest/globals";

import { VmMovePlanner } from "../pools/vm-move-planner.js";
import { buildRotatingBursts } from "../testing/build-rotating-bursts.js";
import { runPoolSimulation } from "../testing/run-pool-simulation.js";

const lengthMs = 20_000;
const burstMs = 4_500;
const moveMs = 1_500;
const seeds = [1, 2];
const small = { meanSteps: 1.6, meanTasks: 6, meanTaskMs: 640, meanCpu: 1_800 };
const large = { meanSteps: 2, meanTasks: 8, meanTaskMs: 1_700, meanCpu: 3_800 };
const queues = [
    { ...small, pool: "reception", jobsPerSecond: 19.2 },
    { ...large, pool: "partner", jobsPerSecond: 3 },
    { ...small, pool: "visits", jobsPerSecond: 24.1 },
    { ...large, pool: "events", jobsPerSecond: 3.7 },
];
const pools = [
    { name: "reception", vms: 43, isSpare: false, longRunning: 20 },
    { name: "partner", vms: 49, isSpare: false, longRunning: 20 },
    { name: "visits", vms: 54, isSpare: false, longRunning: 20 },
    { name: "events", vms: 60, isSpare: false, longRunning: 20 },
    { name: "off", vms: 39, isSpare: true, longRunning: 0 },
];

/** Plays bursts on a large fleet, or on a part of its VMs, with a leader that can start so many tasks a second. */
function runBursts(seed: number, startsPerSecond: number, vmShare = 1): ReturnType<typeof runPoolSimulation> {
    const planner = new VmMovePlanner(moveMs);
    return runPoolSimulation(
        pools.map(pool => ({ ...pool, vms: Math.round(pool.vms * vmShare) })),
        buildRotatingBursts(queues, burstMs, lengthMs, seed),
        (statuses, now) => planner.planRound(statuses, now),
        undefined,
        { startsPerSecond },
    );
}

describe("bursts on a large fleet", () => {
    describe("with a leader that can start fewer tasks a second than the callers ask for", () => {
        const results = seeds.map(seed => runBursts(seed, 500));

        it("finish most job weight on time, as no step waits until its slack is used up", () => {
            for (const { onTimeShare, worstWindowsShare, worstPoolShare } of results) {
                expect(onTimeShare).toBeGreaterThan(0.73);
                expect(worstWindowsShare).toBeGreaterThan(0.55);
                expect(worstPoolShare).toBeGreaterThan(0.64);
            }
        });

        it("serve the largest jobs more than half as often as all", () => {
            for (const { worstSizeRatio } of results) {
                expect(worstSizeRatio).toBeGreaterThan(0.5);
            }
        });
    });

    it("finish nearly all job weight on time when the leader can start all tasks", () => {
        for (const { onTimeShare, worstWindowsShare } of seeds.map(seed => runBursts(seed, Number.POSITIVE_INFINITY))) {
            expect(onTimeShare).toBeGreaterThan(0.99);
            expect(worstWindowsShare).toBeGreaterThan(0.98);
        }
    });

    it("finish most job weight on time when a backlog is just worked off within the slack of its jobs", () => {
        for (const seed of seeds) {
            const { onTimeShare, worstWindowsShare } = runBursts(seed, Number.POSITIVE_INFINITY, 0.4);
            expect(onTimeShare).toBeGreaterThan(0.94);
            expect(worstWindowsShare).toBeGreaterThan(0.84);
        }
    });
});
