import { describe, expect, it } from "@jest/globals";

import { createRandom } from "../testing/create-random.js";
import { SimulatedCluster } from "../testing/simulated-cluster.js";
import { isLeaseValid } from "./is-lease-valid.js";
import { RaftRole } from "./raft-role.js";

/** A message and its reply take 210 ms, of a lease of 240 ms. */
const delayMs = 105;

/** Three keepers with a leader, and the number of milliseconds without a lease while it leads for some time. */
function countLapsedMs(earlierKeepers: readonly string[]): number {
    const options = {
        minDelayMs: delayMs,
        maxDelayMs: delayMs,
        stepMs: 1,
        duplicatePercent: 0,
        snapshotEntries: 100_000,
        earlierKeepers,
    };
    const cluster = new SimulatedCluster(3, createRandom(21), 0, options);
    cluster.run(50);
    for (const id of ["k1", "k2"]) {
        cluster.sendMemberChange(({ voters, learners }) => ({ voters, learners: { ...learners, [id]: id } }));
        cluster.run(3_000);
        cluster.sendMemberChange(({ voters }) => ({ voters: { ...voters, [id]: id }, learners: {} }));
        cluster.run(3_000);
    }
    const leader = cluster.nodes.find(({ raft }) => raft?.role === RaftRole.Leader);
    let lapsedMs = 0;
    for (let ms = 0; ms < 5_000; ms++) {
        cluster.run(1);
        lapsedMs += leader?.raft !== undefined && isLeaseValid(leader.raft, cluster.now) ? 0 : 1;
    }
    return lapsedMs;
}

describe("the lease of a leader whose replies come slowly", () => {
    // Full leaders lost their lease some forty times a burst, and their leadership several times.
    it("is longer and does not lapse", () => {
        expect(countLapsedMs([])).toBe(0);
    });

    it("is the usual one while the voters are of an earlier release", () => {
        expect(countLapsedMs(["k1", "k2"])).toBeGreaterThan(0);
    });
});
