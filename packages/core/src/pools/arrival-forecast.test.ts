import { describe, expect, it } from "@jest/globals";

import { ArrivalForecast } from "./arrival-forecast.js";

const cpu = 1_000;
const horizonMs = 1_800;
const stages = [{ fromMs: 0, toMs: 1_000, cpu }];

/** Adds jobs of one core and a second at a rate that is a function of time, and forecasts at the end. */
function computeForecast(readRate: (now: number) => number, durationMs = 4_000): number {
    const forecast = new ArrivalForecast();
    let due = 0.5;
    for (let now = 0; now <= durationMs; now++) {
        due += readRate(now) / 1_000;
        if (due >= 1) {
            due -= 1;
            forecast.addArrivals([{ ageMs: 0, stages }], now);
        }
    }
    return forecast.computeDemand(durationMs, horizonMs, Number.POSITIVE_INFINITY);
}

describe("the demand forecast from arrivals", () => {
    it("is that of the present while the rate is steady", () => {
        const demand = computeForecast(() => 50);
        expect(demand).toBeGreaterThan(45 * cpu);
        expect(demand).toBeLessThan(55 * cpu);
    });

    it("meets the demand of a burst that rises, which is twice the demand of the present", () => {
        const demand = computeForecast(now => 50 * now / 4_000);
        const expected = 50 * (4_000 + horizonMs - 500) / 4_000;
        expect(demand).toBeGreaterThan(0.9 * expected * cpu);
        expect(demand).toBeLessThan(1.1 * expected * cpu);
    });

    it("contains the later steps of accepted jobs", () => {
        const forecast = new ArrivalForecast();
        forecast.addArrivals([{ ageMs: 0, stages: [...stages, { fromMs: 1_000, toMs: 3_000, cpu: 7 * cpu }] }], 0);
        expect(forecast.computeDemand(1_000, horizonMs, 7 * cpu)).toBe(7 * cpu);
    });

    it("is nothing after the last job has ended", () => {
        const forecast = new ArrivalForecast();
        forecast.addArrivals([{ ageMs: 0, stages }], 0);
        expect(forecast.computeDemand(1_000, horizonMs, cpu)).toBe(0);
    });
});
