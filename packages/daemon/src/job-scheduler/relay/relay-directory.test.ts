import { RaftRole } from "@daisylock/core/raft/raft-role.js";
import { describe, expect, it } from "@jest/globals";

import type { KeeperView } from "../../request-proxy/keeper/keeper-view.js";
import { ManualClock } from "../testing/manual-clock.js";
import { RelayDirectory } from "./relay-directory.js";

const targets = Array.from({ length: 300 }, (_, index) => `t${index}`);

function createFixture(keeperCount = 5) {
    const clock = new ManualClock();
    const ids = Array.from({ length: keeperCount }, (_, index) => `k${index}`);
    const view = {
        id: "k0",
        role: RaftRole.Leader,
        members: { voters: Object.fromEntries(ids.map(id => [id, `${id}:70`])), learners: {} },
        silentMs: Object.fromEntries(ids.slice(1).map(id => [id, 40])) as Record<string, number>,
        matchIndexes: Object.fromEntries(ids.slice(1).map(id => [id, 9])) as Record<string, number>,
    };
    const directory = new RelayDirectory(() => view as Partial<KeeperView> as KeeperView, clock);
    const pickAll = () => new Map(targets.map(target => [target, directory.pickRelay(target)]));
    return { clock, view, directory, pickAll };
}

describe("RelayDirectory", () => {
    it("spreads the targets evenly over all keepers but the leader", () => {
        const { pickAll } = createFixture();
        const counts = new Map<string | undefined, number>();
        pickAll().forEach(relay => counts.set(relay, (counts.get(relay) ?? 0) + 1));
        expect([...counts.keys()].sort()).toEqual(["k1:70", "k2:70", "k3:70", "k4:70"]);
        counts.forEach(count => expect(count).toBeGreaterThan(targets.length / 8));
    });

    it("picks another keeper only for the targets of one that is silent", async () => {
        const { clock, view, pickAll } = createFixture();
        const before = pickAll();
        view.silentMs["k2"] = 500;
        await clock.runFor(100);
        const after = pickAll();
        for (const [target, relay] of before) {
            if (relay === "k2:70") {
                expect(after.get(target)).not.toBe("k2:70");
            }
            else {
                expect(after.get(target)).toBe(relay);
            }
        }
    });

    it("does not use a keeper that has not replied to this leader yet", () => {
        const { view, pickAll } = createFixture();
        view.matchIndexes["k3"] = 0;
        expect([...pickAll().values()]).not.toContain("k3:70");
    });

    it("uses a keeper again some time after a request through it has failed", async () => {
        const { clock, directory, pickAll } = createFixture(2);
        expect(directory.pickRelay("t0")).toBe("k1:70");
        directory.noteFailure("k1:70");
        expect(directory.pickRelay("t0")).toBeUndefined();
        await clock.runFor(1_100);
        expect([...pickAll().values()]).toContain("k1:70");
    });

    it("finds no relay for a leader without other keepers", () => {
        expect(createFixture(1).directory.pickRelay("t0")).toBeUndefined();
    });
});
