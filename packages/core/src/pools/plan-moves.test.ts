import { describe, expect, it } from "@jest/globals";

import { BurstMemory } from "./burst-memory.js";
import { DemandTrend } from "./demand-trend.js";
import { planMoves } from "./plan-moves.js";
import type { PoolView } from "./pool-view.js";

const vmCpu = 32_000;

function buildPool(name: string, vms: number, idle: number, fields: Partial<PoolView> = {}): PoolView {
    return {
        name,
        isSpare: false,
        capacity: vms * vmCpu,
        used: 0,
        wanted: 0,
        expected: 0,
        peak: 0,
        homeCapacity: vms * vmCpu,
        idleVms: Array.from({ length: idle }, (_, index) => ({ vm: `${name}-${index}`, home: name, cpu: vmCpu })),
        ...fields,
    };
}

const spare = buildPool("off", 0, 4, { isSpare: true, homeCapacity: 0 });

describe("moving VMs between pools", () => {
    it("brings spare VMs first, then idle ones of calm pools, to the pool that is short", () => {
        const short = buildPool("busy", 4, 0, { used: 4 * vmCpu, wanted: 4 * vmCpu });
        const moves = planMoves([short, buildPool("calm", 6, 6), spare]);
        expect(moves.slice(0, 4).every(({ from }) => from === "off")).toBe(true);
        expect(moves.filter(({ from, to }) => from === "calm" && to === "busy")).toHaveLength(3);
    });

    it("leaves each lender half of its own capacity and never moves a VM that is in use", () => {
        const short = buildPool("busy", 1, 0, { used: vmCpu, wanted: 100 * vmCpu });
        const calm = buildPool("calm", 6, 6);
        const moves = planMoves([short, calm]);
        expect(moves).toHaveLength(3);
        expect(planMoves([short, buildPool("tied", 6, 0)])).toEqual([]);
    });

    it("switches off what a pool does not need, and keeps what its latest peak needs", () => {
        expect(planMoves([buildPool("calm", 8, 8), spare])).toHaveLength(4);
        expect(planMoves([buildPool("resting", 8, 8, { peak: 5 * vmCpu }), spare])).toEqual([]);
    });

    it("sends borrowed VMs home where there is no spare pool", () => {
        const borrower = buildPool("rested", 2, 2, {
            homeCapacity: 0,
            idleVms: [{ vm: "x", home: "owner", cpu: vmCpu }, { vm: "y", home: "owner", cpu: vmCpu }],
        });
        expect(planMoves([borrower, buildPool("owner", 4, 0, { used: 3 * vmCpu })])).toEqual([
            { vm: "x", from: "rested", to: "owner" },
            { vm: "y", from: "rested", to: "owner" },
        ]);
    });

    it("does not send a VM to and fro under a steady demand", () => {
        for (let vms = 3; vms < 12; vms++) {
            const demand = 4.2 * vmCpu;
            const pool = buildPool("steady", vms, 0, {
                used: demand,
                expected: demand,
                peak: demand,
                homeCapacity: vmCpu,
            });
            const called = planMoves([pool, spare]).length;
            const settled = buildPool("steady", vms + called, vms + called - 5, {
                used: demand,
                expected: demand,
                peak: demand,
                homeCapacity: vmCpu,
            });
            const next = planMoves([settled, { ...spare, idleVms: [] }]).filter(({ to }) => to === "off").length;
            expect(called === 0 || next === 0).toBe(true);
        }
    });

    it("looks ahead by the growth of demand, and remembers the size of bursts", () => {
        const trend = new DemandTrend();
        let outlook = trend.addSample(0, 0, 1_500);
        for (let at = 100; at <= 800; at += 100) {
            outlook = trend.addSample(at, at * 100, 1_500);
        }
        expect(outlook.expected).toBeGreaterThan(200_000);
        const memory = new BurstMemory();
        expect(memory.noteDemand("a", 0.5, 0)).toBe(0);
        memory.noteDemand("a", 2, 1_000);
        memory.noteDemand("a", 0.1, 4_000);
        expect(memory.noteDemand("b", 0.5, 5_000)).toBeCloseTo(1.7);
        expect(memory.noteDemand("b", 0.5, 9_000)).toBe(0);
    });
});
