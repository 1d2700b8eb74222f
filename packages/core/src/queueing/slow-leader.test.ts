import { describe, expect, it } from "@jest/globals";

import { VmMovePlanner } from "../pools/vm-move-planner.js";
import { buildRotatingBursts } from "../testing/build-rotating-bursts.js";
import { runPoolSimulation } from "../testing/run-pool-simulation.js";

const burstMs = 10_250;
const lengthMs = 2 * burstMs;
const moveMs = 1_500;
const arrivalStepMs = 1;
const small = { meanSteps: 1.6, meanTasks: 8, meanTaskMs: 800, meanCpu: 4_500 };
const queues = [
    { ...small, pool: "visits", jobsPerSecond: 20.9 },
    { ...small, pool: "reception", jobsPerSecond: 16.7 },
    // The bursts of these two come after the end of the load.
    { ...small, pool: "partner", jobsPerSecond: 0 },
    { ...small, pool: "events", jobsPerSecond: 0 },
];
const pools = [
    { name: "visits", vms: 85, isSpare: false, longRunning: 24 },
    { name: "reception", vms: 65, isSpare: false, longRunning: 24 },
    { name: "partner", vms: 75, isSpare: false, longRunning: 24 },
    { name: "events", vms: 91, isSpare: false, longRunning: 24 },
    { name: "off", vms: 62, isSpare: true, longRunning: 0 },
];
/** Time without a leader while another keeper takes over at the height of the first burst. */
const outage = { atMs: 5_150, durationMs: 1_500 };
/** Share of its worth that each queue has to earn on the worst day. */
const queueFloor = 0.4;

/** Returns the share that the worst queue earns. */
function runBursts(seed: number, startsPerSecond: number, commitMs: number): number {
    const planner = new VmMovePlanner(moveMs);
    const { worstPoolShare } = runPoolSimulation(
        pools,
        buildRotatingBursts(queues, burstMs, lengthMs, seed, arrivalStepMs),
        (statuses, now) => planner.planRound(statuses, now),
        outage,
        { startsPerSecond, commitMs },
    );
    return worstPoolShare;
}

describe("a change of leader at the height of the burst of a large deployment", () => {
    it.each([1, 2])("leaves the floor of the queue when the leader can start all tasks (seed %d)", seed => {
        expect(runBursts(seed, Number.POSITIVE_INFINITY, 0)).toBeGreaterThan(queueFloor);
    });

    // Leaders whose processor time is dear started 1,200 tasks a second, each with commits of 200 ms.
    it.each([1, 2])("leaves the floor of the queue when the leader's processor time is dear (seed %d)", seed => {
        expect(runBursts(seed, 1_200, 200)).toBeGreaterThan(queueFloor);
    });
});
