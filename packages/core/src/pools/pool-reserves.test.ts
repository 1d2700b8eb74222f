import { describe, expect, it } from "@jest/globals";

import { buildPoolForecast } from "../testing/build-pool-forecast.js";
import { buildRotatingBursts } from "../testing/build-rotating-bursts.js";
import { runPoolSimulation } from "../testing/run-pool-simulation.js";
import { planMoves } from "./plan-moves.js";
import { VmMovePlanner } from "./vm-move-planner.js";

const moveMs = 1_500;
const vmCpu = 32_000;
const burstMs = 10_000;

/** Half as many VMs as in four services of a grown deployment, which are of half the size. */
const pools = [
    { name: "summaries", vms: 20, isSpare: false, longRunning: 12 },
    { name: "translations", vms: 25, isSpare: false, longRunning: 12 },
    { name: "headlines", vms: 28, isSpare: false, longRunning: 12 },
    { name: "notices", vms: 30, isSpare: false, longRunning: 12 },
    { name: "off", vms: 20, isSpare: true, longRunning: 0 },
];
const small = { meanSteps: 1.6, meanTasks: 8, meanTaskMs: 640, meanCpu: 2_000 };
const large = { meanSteps: 2, meanTasks: 8, meanTaskMs: 2_100, meanCpu: 4_400 };
const queues = [
    { ...small, pool: "summaries", jobsPerSecond: 15.2 },
    { ...large, pool: "translations", jobsPerSecond: 1.9 },
    { ...small, pool: "headlines", jobsPerSecond: 19 },
    { ...large, pool: "notices", jobsPerSecond: 2.32 },
];

/** Plays bursts that come round twice, and counts the plans that leave VMs idle in the spare pool. */
function countPlans(seed: number) {
    const planner = new VmMovePlanner(moveMs);
    const counts = { spareLeft: 0, reserveMissing: 0 };
    const jobs = buildRotatingBursts(queues, burstMs, 2 * queues.length * burstMs, seed);
    runPoolSimulation(pools, jobs, (statuses, now) => {
        const moves = planner.planRound(statuses, now);
        const isSpareLeft = statuses.some(({ name, isSpare, idleVms }) =>
            isSpare && idleVms.length > moves.filter(({ from }) => from === name).length
        );
        if (isSpareLeft) {
            counts.spareLeft += 1;
            const isReserveMissing = planner.readForecasts().some(({ name, isSpare, capacity, reserve }) => {
                const gained = moves.filter(({ to }) => to === name).length
                    - moves.filter(({ from }) => from === name).length;
                return !isSpare && capacity + gained * vmCpu <= reserve - vmCpu;
            });
            counts.reserveMissing += isReserveMissing ? 1 : 0;
        }
        return moves;
    });
    return counts;
}

describe("the reserve of a pool that may have the next burst", () => {
    // A pool began its burst with 9 of the 22 VMs of its reserve, while 41 VMs were idle in the spare pool.
    it("is filled from the spare pool before the burst", () => {
        const next = buildPoolForecast("next", 9, 8, { reserve: 22 * vmCpu, homeCapacity: 55 * vmCpu });
        const spare = buildPoolForecast("off", 0, 41, { isSpare: true, homeCapacity: 0 });
        expect(planMoves([next, spare]).filter(({ to }) => to === "next")).toHaveLength(13);
    });

    it("lacks no VM while VMs are idle in the spare pool, also in the second round of bursts", () => {
        for (const seed of [1, 2]) {
            const { spareLeft, reserveMissing } = countPlans(seed);
            expect(spareLeft).toBeGreaterThan(0);
            expect(reserveMissing).toBe(0);
        }
    });
});
