import { describe, expect, it } from "@jest/globals";

import { BurstHistory } from "./burst-history.js";

const pools = ["a", "b", "c"];

describe("the reserves of pools whose bursts rotate", () => {
    it("are equal before any burst was recorded", () => {
        const history = new BurstHistory();
        const reserves = pools.map(pool => history.computeReserve(pool, pools, 0));
        expect(new Set(reserves).size).toBe(1);
        expect(reserves[0]).toBeGreaterThan(0);
    });

    it("go to the pools that have had no burst yet", () => {
        const history = new BurstHistory();
        history.recordDemand("a", 2, 0);
        expect(history.computeReserve("a", pools, 5_000)).toBe(0);
        expect(history.computeReserve("b", pools, 5_000)).toBeGreaterThan(0);
    });

    it("go to the pool whose burst is longest ago once each has had one", () => {
        const history = new BurstHistory();
        pools.forEach((pool, position) => history.recordDemand(pool, 2, position * 10_000));
        const reserves = pools.map(pool => history.computeReserve(pool, pools, 25_000));
        expect(reserves[0]).toBeGreaterThan(0.3);
        expect(reserves.slice(1)).toEqual([0, 0]);
    });

    it("exclude the pool that has a burst now", () => {
        const history = new BurstHistory();
        pools.forEach(pool => history.recordDemand(pool, 2, 0));
        expect(history.computeReserve("a", pools, 100)).toBe(0);
    });
});
