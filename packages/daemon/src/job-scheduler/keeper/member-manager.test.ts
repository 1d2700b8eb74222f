import { CommandKind } from "@daisylock/core/control/command-kind.js";
import { DepartureState } from "@daisylock/protocol/fleet/departure-state.js";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import { KeeperGroup } from "../testing/keeper-group.js";

const catchUpMs = 4_000;

describe("a group of keepers of which one may be lost", () => {
    let group: KeeperGroup;

    beforeEach(async () => {
        group = new KeeperGroup();
        ["a", "b", "c"].forEach(name => group.startKeeper(name, true));
        await group.waitUntil(() => group.countVoters() === 3);
    });

    afterEach(() => group.stopAll());

    const isCommitting = async (): Promise<boolean> => {
        const result = await group.findLeader()?.keeper.sendCommand({ kind: CommandKind.ConfirmLeadership });
        return result?.isOk === true;
    };

    /** Starts a keeper on an empty disk and waits until it is a learner. */
    const addLearner = async (name: string): Promise<void> => {
        group.startKeeper(name, false);
        await group.waitUntil(() => name in (group.findLeader()?.keeper.readView()?.members.learners ?? {}));
        await group.waitFor(300);
    };

    // Guards against a vote that nobody can cast any more and that counts in the quorum.
    it.each(["leader", "follower"])(
        "bears the loss of a disk right after a planned replacement of the %s",
        async role => {
            await addLearner("d");
            const leader = group.findLeaderName();
            const leaving = ["a", "b", "c"].find(name => (name === leader) === (role === "leader")) ?? "";
            await group.stopGracefully(leaving);
            await group.waitUntil(() => group.findLeader() !== undefined);
            group.dropKeeper(group.findLeaderName());
            await group.waitUntil(() => group.findLeader() !== undefined);
            expect(await isCommitting()).toBe(true);
        },
    );

    it("bears the loss of a disk once the successor of a lost keeper has had its time", async () => {
        const lost = ["a", "b", "c"].find(name => name !== group.findLeaderName()) ?? "";
        group.dropKeeper(lost);
        await group.waitFor(1_000);
        const startedAt = performance.now();
        group.startKeeper("d", false);
        const voters = ["a", "b", "c", "d"].filter(name => name !== lost);
        await group.waitUntil(() => group.isVoterListStored(voters));
        expect(group.isVoterListStored(voters)).toBe(true);
        expect(performance.now() - startedAt).toBeLessThan(catchUpMs);
        group.dropKeeper(group.findLeaderName());
        await group.waitUntil(() => group.findLeader() !== undefined);
        expect(await isCommitting()).toBe(true);
    });

    it("replaces two keepers one after the other", async () => {
        for (const [leaving, successor] of [["a", "d"], ["b", "e"]] as const) {
            await addLearner(successor);
            await group.stopGracefully(leaving);
        }
        await group.waitUntil(() => group.findLeader() !== undefined);
        expect([...group.listVoters()].sort()).toEqual(["c", "d", "e"]);
        group.dropKeeper(group.findLeaderName());
        await group.waitUntil(() => group.findLeader() !== undefined);
        expect(await isCommitting()).toBe(true);
    });

    it("goes on replacing a keeper when the leader is lost meanwhile", async () => {
        await addLearner("d");
        const leader = group.findLeaderName();
        const leaving = ["a", "b", "c"].find(name => name !== leader) ?? "";
        const departed = group.stopGracefully(leaving);
        await group.waitUntil(() => group.countVoters() === 4, 5);
        group.dropKeeper(leader);
        await departed;
        await group.waitUntil(() => group.findLeader() !== undefined);
        expect(group.listVoters()).not.toContain(leaving);
        expect(await isCommitting()).toBe(true);
    });

    // A keeper that was elected while it left found no successor for itself and ended with a vote that was needed.
    it("replaces a keeper that leads when it is about to release its vote", async () => {
        await addLearner("d");
        const leaving = group.findLeaderName();
        await group.findLeader()?.manager.releaseVote();
        await group.waitUntil(() => group.findLeader() !== undefined);
        expect([...group.listVoters()].sort()).toEqual(["a", "b", "c", "d"].filter(name => name !== leaving));
    });

    it("replaces a keeper that ends halfway through its departure", async () => {
        await addLearner("d");
        const leaving = ["a", "b", "c"].find(name => name !== group.findLeaderName()) ?? "";
        void group.stopGracefully(leaving);
        await group.waitUntil(() => group.countVoters() === 4, 5);
        group.dropKeeper(leaving);
        await group.waitUntil(() => group.countVoters() === 3 && !group.listVoters().includes(leaving));
        expect(await isCommitting()).toBe(true);
    });

    it("keeps the vote of a keeper that stops without a successor, and replaces none that is back in time", async () => {
        const leaving = ["a", "b", "c"].find(name => name !== group.findLeaderName()) ?? "";
        const reply = await group.findLeader()?.manager.handleDepart({ id: leaving });
        expect(reply).toEqual({ isLeader: true, value: { state: DepartureState.NoSuccessor } });
        await group.stopGracefully(leaving);
        await group.waitFor(2_500);
        expect(group.listVoters()).toContain(leaving);
        expect(await isCommitting()).toBe(true);
    });
});
