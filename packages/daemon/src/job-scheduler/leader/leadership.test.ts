import { createControlState } from "@daisylock/core/control/create-control-state.js";
import { buildTestFleet } from "@daisylock/core/testing/build-test-fleet.js";
import { describe, expect, it } from "@jest/globals";

import { FakeKeeper } from "../testing/fake-keeper.js";
import { ManualClock } from "../testing/manual-clock.js";
import { Leadership } from "./leadership.js";

const foundingWaitMs = 5_000;

function createFixture(state = createControlState()) {
    const clock = new ManualClock();
    const keeper = new FakeKeeper(state);
    let voters = 2;
    keeper.countVoters = () => voters;
    const leadership = new Leadership(keeper, 2, { voterCount: 3, clock });
    return {
        clock,
        leadership,
        setVoters: (count: number) => {
            voters = count;
        },
    };
}

describe("the leader of a cluster that may lose one of three keepers", () => {
    // Guards against a first acknowledgement that is stored where the loss of one disk leaves no quorum.
    it("accepts nothing in a new cluster before all three vote", () => {
        const { leadership, setVoters } = createFixture();
        expect(leadership.isActive()).toBe(false);
        setVoters(3);
        expect(leadership.isActive()).toBe(true);
    });

    it("serves a new cluster of which a keeper does not come", async () => {
        const { clock, leadership } = createFixture();
        await clock.runFor(foundingWaitMs - 1);
        expect(leadership.isActive()).toBe(false);
        await clock.runFor(1);
        expect(leadership.isActive()).toBe(true);
    });

    it("serves at once with two voters where a configuration was accepted before", () => {
        const { leadership, setVoters } = createFixture(buildTestFleet(0, { cpu: 0, memory: 0, gpu: 0 }));
        expect(leadership.isActive()).toBe(true);
        setVoters(1);
        expect(leadership.isActive()).toBe(false);
    });
});
