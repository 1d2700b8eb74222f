import { describe, expect, it } from "@jest/globals";

import { createRandom } from "../testing/create-random.js";
import { SimulatedCluster } from "../testing/simulated-cluster.js";
import { isLeaseValid } from "./is-lease-valid.js";
import { startLeadershipTransfer } from "./start-leadership-transfer.js";

function createCluster(): SimulatedCluster {
    const cluster = new SimulatedCluster(3, createRandom(5), 0);
    for (const id of ["k1", "k2"]) {
        cluster.sendMemberChange(({ voters, learners }) => ({ voters, learners: { ...learners, [id]: id } }));
        cluster.run(1_500);
        cluster.sendMemberChange(({ voters }) => ({ voters: { ...voters, [id]: id }, learners: {} }));
        cluster.run(500);
    }
    return cluster;
}

describe("leadership transfer", () => {
    it("releases the lease at once and elects a successor well before an election timeout", () => {
        const cluster = createCluster();
        const leader = cluster.findLeader();
        if (leader?.raft === undefined) {
            throw new TypeError("no leader elected");
        }
        expect(startLeadershipTransfer(leader.raft, cluster.now)).not.toBe(undefined);
        expect(isLeaseValid(leader.raft, cluster.now)).toBe(false);
        cluster.runNode(leader);
        const startedAt = cluster.now;
        cluster.runUntil(() => cluster.findLeader() !== undefined && cluster.findLeader() !== leader, 2_000);
        expect(cluster.now - startedAt).toBeLessThan(200);
    });

    it("does nothing on a follower, or when no voter has replied within the minimum election timeout", () => {
        const cluster = createCluster();
        const leader = cluster.findLeader();
        const follower = cluster.nodes.find(node => node !== leader);
        if (leader?.raft === undefined || follower?.raft === undefined) {
            throw new TypeError("expected a running leader and follower");
        }
        expect(startLeadershipTransfer(follower.raft, cluster.now)).toBeUndefined();
        cluster.nodes.filter(node => node !== leader).forEach(node => cluster.stopNode(node));
        cluster.run(350);
        expect(startLeadershipTransfer(leader.raft, cluster.now)).toBeUndefined();
    });
});
