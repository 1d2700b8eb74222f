import { describe, expect, it } from "@jest/globals";

import { createRandom } from "../testing/create-random.js";
import { SimulatedCluster } from "../testing/simulated-cluster.js";

const followers = ["k1", "k2", "k3", "k4"];
const entryCount = 2_000;
/** Heartbeat interval and shortest election timeout of the simulated keepers. */
const heartbeatIntervalMs = 50;
const minElectionTimeoutMs = 300;

interface Network {
    /** Shortest one-way delay. */
    readonly minDelayMs: number;
    readonly maxDelayMs: number;
    readonly lossPercent: number;
    readonly snapshotEntries?: number;
}

interface Traffic {
    /** Entries sent for each proposed entry, for the follower that was sent the most. */
    readonly copiesPerEntry: number;
    /** Mean time from a proposal until its commit is known to the leader, milliseconds. */
    readonly meanCommitMs: number;
    /** Longest such time. */
    readonly maxCommitMs: number;
}

/** Creates a leader with four followers. */
function createCluster({ lossPercent, snapshotEntries = 100_000, ...delays }: Network): SimulatedCluster {
    const options = { ...delays, stepMs: 1, duplicatePercent: 0, snapshotEntries };
    const cluster = new SimulatedCluster(5, createRandom(21), lossPercent, options);
    cluster.run(heartbeatIntervalMs);
    for (const id of followers) {
        cluster.sendMemberChange(({ voters, learners }) => ({ voters, learners: { ...learners, [id]: id } }));
        cluster.run(3_000);
        cluster.sendMemberChange(({ voters }) => ({ voters: { ...voters, [id]: id }, learners: {} }));
        cluster.run(3_000);
    }
    expect(Object.keys(cluster.findLeader()?.raft?.members.voters ?? {})).toHaveLength(followers.length + 1);
    return cluster;
}

/** Proposes one entry a millisecond. Returns the time from each proposal to its commit. */
function sendSteadyProposals(cluster: SimulatedCluster, count: number): number[] {
    const proposedAt = new Map<string, number>();
    const commitTimes: number[] = [];
    const takeCommitted = (): boolean => {
        for (const [payload, at] of proposedAt) {
            if (cluster.acknowledged.has(payload)) {
                proposedAt.delete(payload);
                commitTimes.push(cluster.now - at);
            }
        }
        return proposedAt.size === 0;
    };
    for (let number = 0; number < count; number++) {
        const payload = `${cluster.now} ${"x".repeat(500)}`;
        proposedAt.set(payload, cluster.now);
        cluster.sendProposal(payload);
        cluster.run(1);
        takeCommitted();
    }
    expect(cluster.runUntil(takeCommitted, 10_000)).toBe(true);
    return commitTimes;
}

function measureTraffic(network: Network): Traffic {
    const cluster = createCluster(network);
    const sentBefore = new Map(cluster.sentEntries);
    const commitTimes = sendSteadyProposals(cluster, entryCount);
    cluster.run(1_000);
    const sent = followers.map(id => (cluster.sentEntries.get(id) ?? 0) - (sentBefore.get(id) ?? 0));
    return {
        copiesPerEntry: Math.max(...sent) / entryCount,
        meanCommitMs: commitTimes.reduce((sum, time) => sum + time, 0) / entryCount,
        maxCommitMs: Math.max(...commitTimes),
    };
}

function setFollowersCut(cluster: SimulatedCluster, isCut: boolean): void {
    const leader = cluster.findLeader();
    for (const node of cluster.nodes) {
        if (leader !== undefined && node !== leader) {
            cluster.setLinkCut(leader, node, isCut);
        }
    }
}

describe("append traffic", () => {
    describe("under steady proposals without loss", () => {
        it("sends each entry once to each follower when replies take 6 ms", () => {
            const traffic = measureTraffic({ minDelayMs: 3, maxDelayMs: 3, lossPercent: 0 });
            expect(traffic.copiesPerEntry).toBe(1);
            expect(traffic.meanCommitMs).toBeLessThan(8);
        });

        it("sends each entry once to each follower when replies take longer than two heartbeat intervals", () => {
            const traffic = measureTraffic({ minDelayMs: 60, maxDelayMs: 60, lossPercent: 0 });
            expect(traffic.copiesPerEntry).toBe(1);
            expect(traffic.meanCommitMs).toBeLessThan(130);
        });
    });

    describe("under steady proposals when messages are lost or overtake each other", () => {
        it("sends again only what was in flight when one message in a hundred is lost", () => {
            const traffic = measureTraffic({ minDelayMs: 3, maxDelayMs: 3, lossPercent: 1 });
            expect(traffic.copiesPerEntry).toBeLessThan(1.5);
            expect(traffic.maxCommitMs).toBeLessThan(minElectionTimeoutMs);
        });

        it("sends an entry at most twice on average when delays vary between 1 and 41 ms", () => {
            const traffic = measureTraffic({ minDelayMs: 1, maxDelayMs: 41, lossPercent: 0 });
            expect(traffic.copiesPerEntry).toBeLessThan(2);
            expect(traffic.maxCommitMs).toBeLessThan(minElectionTimeoutMs);
        });

        it("sends no entry again when delays vary between 1 and 10 ms", () => {
            const traffic = measureTraffic({ minDelayMs: 1, maxDelayMs: 10, lossPercent: 0 });
            expect(traffic.copiesPerEntry).toBe(1);
            expect(traffic.meanCommitMs).toBeLessThan(14);
        });
    });

    describe("after a loss", () => {
        const replyMs = 6;

        // The links are cut before the appends arrive, or before the replies do.
        it.each([["appends", 0], ["replies", 4]])(
            "commits within two heartbeats once the %s get through",
            (_, delayMs) => {
                const cluster = createCluster({ minDelayMs: 3, maxDelayMs: 3, lossPercent: 0 });
                cluster.sendProposal("lost");
                cluster.run(delayMs);
                setFollowersCut(cluster, true);
                cluster.run(20);
                expect(cluster.acknowledged.has("lost")).toBe(false);
                setFollowersCut(cluster, false);
                const maxMs = 2 * heartbeatIntervalMs + 2 * replyMs;
                expect(cluster.runUntil(() => cluster.acknowledged.has("lost"), maxMs)).toBe(true);
            },
        );
    });

    describe("while a follower is down", () => {
        it("sends it no entry again until it answers, and then all that it lacks", () => {
            const cluster = createCluster({ minDelayMs: 3, maxDelayMs: 3, lossPercent: 0 });
            const follower = cluster.nodes.find(({ id }) => id === "k4");
            if (follower === undefined) {
                throw new TypeError("no follower k4");
            }
            cluster.stopNode(follower);
            const sentBefore = cluster.sentEntries.get("k4") ?? 0;
            sendSteadyProposals(cluster, entryCount);
            expect((cluster.sentEntries.get("k4") ?? 0) - sentBefore).toBeLessThan(entryCount / 10);
            cluster.startNode(follower);
            const isCaughtUp = (): boolean => follower.applied.length === cluster.findLeader()?.applied.length;
            expect(cluster.runUntil(isCaughtUp, minElectionTimeoutMs)).toBe(true);
            expect((cluster.sentEntries.get("k4") ?? 0) - sentBefore).toBeLessThan(1.2 * entryCount);
        });
    });

    describe("while a follower receives a snapshot", () => {
        it("sends each chunk once in spite of steady proposals", () => {
            const cluster = createCluster({ minDelayMs: 30, maxDelayMs: 30, lossPercent: 0, snapshotEntries: 2_000 });
            const follower = cluster.nodes.find(({ id }) => id === "k4");
            if (follower === undefined) {
                throw new TypeError("no follower k4");
            }
            cluster.stopNode(follower);
            sendSteadyProposals(cluster, 2_000);
            const sentBefore = cluster.sentSnapshotChunks.get("k4") ?? 0;
            cluster.startNode(follower);
            sendSteadyProposals(cluster, 1_500);
            const snapshotCharacters = cluster.findLeader()?.raft?.snapshot.data.length ?? 0;
            const chunkCount = Math.ceil(snapshotCharacters / (64 * 1024));
            expect(chunkCount).toBeGreaterThan(10);
            expect((cluster.sentSnapshotChunks.get("k4") ?? 0) - sentBefore).toBe(chunkCount);
            cluster.run(minElectionTimeoutMs);
            expect(follower.applied).toHaveLength(cluster.findLeader()?.applied.length ?? 0);
        });
    });
});
