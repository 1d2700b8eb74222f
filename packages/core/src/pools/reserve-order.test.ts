import { describe, expect, it } from "@jest/globals";

import { planMoves } from "./plan-moves.js";
import type { PoolForecast } from "./pool-forecast.js";

const vmCpu = 32_000;

function buildPool(name: string, idle: number, fields: Partial<PoolForecast>): PoolForecast {
    return {
        name,
        isSpare: false,
        capacity: 0,
        incoming: 0,
        used: 0,
        wanted: 0,
        wantedLate: 0,
        expected: 0,
        expectedOnTime: 0,
        usedLongRunning: 0,
        expectedPeak: 0,
        arrivals: [],
        peak: 0,
        reserve: 0,
        homeCapacity: 0,
        idleVms: Array.from({ length: idle }, (_, index) => ({ vm: `${name}-${index}`, home: name, cpu: vmCpu })),
        ...fields,
    };
}

describe("planMoves", () => {
    it("shares spare VMs that do not fill all reserves between the pools below theirs, in any order of the pools", () => {
        const reserve = 10 * vmCpu;
        const pools = ["a", "b"].map(name => buildPool(name, 0, { reserve }));
        const moves = planMoves([...pools, buildPool("off", 10, { isSpare: true })]);
        expect(["a", "b"].map(name => moves.filter(({ to }) => to === name).length)).toEqual([5, 5]);
    });
});
