import { describe, expect, it } from "@jest/globals";

import { BurstHistory } from "./burst-history.js";

const pools = ["a", "b", "c"];

describe("the reserves of pools that take turns", () => {
    it("are equal before any turn was seen", () => {
        const turns = new BurstHistory();
        const reserves = pools.map(pool => turns.computeReserve(pool, pools, 0));
        expect(new Set(reserves).size).toBe(1);
        expect(reserves[0]).toBeGreaterThan(0);
    });

    it("go to the pools whose turn has not come yet", () => {
        const turns = new BurstHistory();
        turns.recordDemand("a", 2, 0);
        expect(turns.computeReserve("a", pools, 5_000)).toBe(0);
        expect(turns.computeReserve("b", pools, 5_000)).toBeGreaterThan(0);
    });

    it("go to the pool whose turn is longest ago once each has had one", () => {
        const turns = new BurstHistory();
        pools.forEach((pool, position) => turns.recordDemand(pool, 2, position * 10_000));
        const reserves = pools.map(pool => turns.computeReserve(pool, pools, 25_000));
        expect(reserves[0]).toBeGreaterThan(0.3);
        expect(reserves.slice(1)).toEqual([0, 0]);
    });

    it("leave out the pool whose turn it is", () => {
        const turns = new BurstHistory();
        pools.forEach(pool => turns.recordDemand(pool, 2, 0));
        expect(turns.computeReserve("a", pools, 100)).toBe(0);
    });
});
