import { describe, expect, it } from "@jest/globals";

import { createRandom } from "../testing/create-random.js";
import { SimulatedCluster } from "../testing/simulated-cluster.js";
import { isLeaseValid } from "./is-lease-valid.js";

const heartbeatIntervalMs = 50;

describe("leader lease", () => {
    describe("after one append to the only follower that is up is lost", () => {
        it("stays valid while pairs of proposals arrive between two heartbeats", () => {
            const options = { minDelayMs: 3, maxDelayMs: 3, stepMs: 1, duplicatePercent: 0, snapshotEntries: 100_000 };
            const cluster = new SimulatedCluster(3, createRandom(21), 0, options);
            cluster.run(heartbeatIntervalMs);
            for (const id of ["k1", "k2"]) {
                cluster.sendMemberChange(({ voters, learners }) => ({ voters, learners: { ...learners, [id]: id } }));
                cluster.run(3_000);
                cluster.sendMemberChange(({ voters }) => ({ voters: { ...voters, [id]: id }, learners: {} }));
                cluster.run(3_000);
            }
            const [leader, follower, stopped] = cluster.nodes;
            if (leader?.raft === undefined || follower === undefined || stopped === undefined) {
                throw new TypeError("no three keepers");
            }
            expect(cluster.findLeader()).toBe(leader);
            cluster.stopNode(stopped);
            cluster.run(200);
            cluster.sendProposal("lost");
            cluster.setLinkCut(leader, follower, true);
            cluster.run(4);
            cluster.setLinkCut(leader, follower, false);
            const lapses: number[] = [];
            for (let number = 0; number < 500; number++) {
                if (number % heartbeatIntervalMs === 10) {
                    cluster.sendProposal(`first ${number}`);
                    cluster.sendProposal(`second ${number}`);
                }
                cluster.run(1);
                if (!isLeaseValid(leader.raft, cluster.now)) {
                    lapses.push(number);
                }
            }
            expect(lapses).toEqual([]);
            expect(cluster.acknowledged.has("lost")).toBe(true);
        });
    });
});
