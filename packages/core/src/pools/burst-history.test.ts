import { describe, expect, it } from "@jest/globals";

import { BurstHistory } from "./burst-history.js";

const pools = ["a", "b", "c"];

describe("the pools that may have the next burst", () => {
    it("are all pools before any burst was recorded", () => {
        expect(new BurstHistory().listNextBurstPools(pools, 0)).toEqual(pools);
    });

    it("are the pools that have had no burst yet", () => {
        const history = new BurstHistory();
        history.recordDemand("a", 2, 0);
        expect(history.listNextBurstPools(pools, 5_000)).toEqual(["b", "c"]);
    });

    it("are the pool whose burst is longest ago once each has had one", () => {
        const history = new BurstHistory();
        pools.forEach((pool, position) => history.recordDemand(pool, 2, position * 10_000));
        expect(history.listNextBurstPools(pools, 25_000)).toEqual(["a"]);
    });

    it("exclude the pool that has a burst now", () => {
        const history = new BurstHistory();
        pools.forEach(pool => history.recordDemand(pool, 2, 0));
        expect(history.listNextBurstPools(pools, 100)).toEqual([]);
    });
});
