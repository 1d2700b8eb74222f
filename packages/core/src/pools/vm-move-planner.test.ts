import { describe, expect, it } from "@jest/globals";

import { buildRotatingBursts } from "../testing/build-rotating-bursts.js";
import { runPoolSimulation } from "../testing/run-pool-simulation.js";
import { VmMovePlanner } from "./vm-move-planner.js";

const lengthMs = 40_000;
const burstMs = 8_500;
const moveMs = 1_500;
const seeds = [1, 2];
const pools = [
    { name: "reception", vms: 6, isSpare: false, longRunning: 5 },
    { name: "partner", vms: 6, isSpare: false, longRunning: 5 },
    { name: "visits", vms: 8, isSpare: false, longRunning: 5 },
    { name: "events", vms: 9, isSpare: false, longRunning: 5 },
    { name: "off", vms: 6, isSpare: true, longRunning: 0 },
];
const small = { meanSteps: 1.6, meanTasks: 6, meanTaskMs: 640, meanCpu: 1_800 };
const large = { meanSteps: 2, meanTasks: 8, meanTaskMs: 1_500, meanCpu: 2_800 };
const queues = [
    { ...small, pool: "reception", perSecond: 6.17 },
    { ...large, pool: "partner", perSecond: 0.744 },
    { ...small, pool: "visits", perSecond: 7.73 },
    { ...large, pool: "events", perSecond: 0.909 },
];

describe("pools whose queues take turns in asking for several times their mean", () => {
    const plays = seeds.map(seed => {
        const jobs = buildRotatingBursts(queues, burstMs, lengthMs, seed);
        const planner = new VmMovePlanner(moveMs);
        return {
            moved: runPoolSimulation(pools, jobs, (readings, now) => planner.planRound(readings, now)),
            fixed: runPoolSimulation(pools, jobs, () => []),
        };
    });

    it("have nearly all worth on time, where fixed pools lose half of it", () => {
        for (const { moved, fixed } of plays) {
            expect(moved.onTimeShare).toBeGreaterThan(0.95);
            expect(moved.worstPoolShare).toBeGreaterThan(0.8);
            expect(fixed.onTimeShare).toBeLessThan(0.6);
        }
    });

    it("serve more than half of the worth in the two worst windows", () => {
        for (const { moved, fixed } of plays) {
            expect(moved.worstWindowsShare).toBeGreaterThan(0.5);
            expect(moved.worstWindowsShare).toBeGreaterThan(2 * fixed.worstWindowsShare);
        }
    });

    it("lose little more than what waits meanwhile when nobody leads for 1.4 s at the beginning of a turn", () => {
        for (const seed of seeds) {
            const jobs = buildRotatingBursts(queues, burstMs, lengthMs, seed);
            const outage = { atMs: 4 * burstMs + 1_500 + 400 * seed, durationMs: 1_400 };
            const planner = new VmMovePlanner(moveMs);
            const { onTimeShare: onTime } = runPoolSimulation(
                pools,
                jobs,
                (readings, now) => planner.planRound(readings, now),
                outage,
            );
            expect(onTime).toBeGreaterThan(0.9);
        }
    });

    it("take no more VM-seconds than the fixed pools", () => {
        for (const { moved, fixed } of plays) {
            expect(moved.vmSeconds).toBeLessThanOrEqual(fixed.vmSeconds);
        }
    });
});
