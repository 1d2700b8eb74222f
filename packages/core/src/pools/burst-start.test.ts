import { describe, expect, it } from "@jest/globals";

import { buildRotatingBursts } from "../testing/build-rotating-bursts.js";
import { computeIdealDemand } from "../testing/compute-ideal-demand.js";
import { runPoolSimulation } from "../testing/run-pool-simulation.js";
import { VmMovePlanner } from "./vm-move-planner.js";

const burstMs = 10_000;
const lengthMs = 80_000;
const moveMs = 1_500;
const seeds = [1, 2];

/** Builds the load of a fleet of four pools and a spare one. */
function buildFleet(vms: readonly number[], vmCpu: number, small: Work, large: Work, rates: readonly number[]) {
    const names = ["reception", "partner", "visits", "events", "off"];
    return {
        pools: names.map((name, index) => {
            const isSpare = name === "off";
            return { name, vms: vms[index] ?? 0, isSpare, longRunning: isSpare ? 0 : 24, vmCpu };
        }),
        queues: rates.map((jobsPerSecond, index) => ({
            ...(index % 2 === 0 ? small : large),
            pool: names[index] ?? "",
            jobsPerSecond,
        })),
    };
}

interface Work {
    readonly meanSteps: number;
    readonly meanTasks: number;
    readonly meanTaskMs: number;
    readonly meanCpu: number;
}

const fleets = {
    "378 VMs of 32 cores": buildFleet(
        [65, 75, 85, 91, 62],
        32_000,
        { meanSteps: 1.6, meanTasks: 8, meanTaskMs: 800, meanCpu: 4_500 },
        { meanSteps: 2, meanTasks: 8, meanTaskMs: 1_700, meanCpu: 9_800 },
        [20, 3.9, 25, 4.8],
    ),
    "246 VMs of 16 cores": buildFleet(
        [43, 49, 54, 60, 40],
        16_000,
        { meanSteps: 1.6, meanTasks: 8, meanTaskMs: 640, meanCpu: 2_000 },
        { meanSteps: 2, meanTasks: 8, meanTaskMs: 2_100, meanCpu: 4_400 },
        [18, 2.3, 23, 2.8],
    ),
};

describe.each(Object.entries(fleets))("bursts that rise over five seconds on %s", (_, { pools, queues }) => {
    const fleetCpu = pools.reduce((sum, { vms, vmCpu }) => sum + vms * vmCpu, 0);

    describe.each(seeds)("seed %i", seed => {
        const jobs = buildRotatingBursts(queues, burstMs, lengthMs, seed);

        it("ask for less than the fleet has", () => {
            expect(Math.max(...computeIdealDemand(jobs))).toBeLessThan(fleetCpu);
        });

        it("start within 1.5 s, as their VMs are ordered before the demand exceeds the pool", () => {
            const planner = new VmMovePlanner(moveMs);
            const result = runPoolSimulation(pools, jobs, (statuses, now) => planner.planRound(statuses, now));
            expect(result.startedInTimeShare).toBe(1);
        });
    });
});
