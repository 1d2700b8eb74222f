import { describe, expect, it } from "@jest/globals";

import { ManualClock } from "../testing/manual-clock.js";
import { ProbeBudget } from "./probe-budget.js";
import { ProbeSchedule } from "./probe-schedule.js";

const never = Number.NEGATIVE_INFINITY;
const unlimited = { takeProbe: () => true };

/** Lists the times of the probes within 20 s of a target that responds to none, milliseconds. */
function runProbes(schedule: ProbeSchedule, readHeardAt: (now: number) => number): number[] {
    const probes: number[] = [];
    schedule.noteFailure(0);
    for (let now = 0; now < 20_000; now += 10) {
        if (schedule.takeProbe(now, readHeardAt(now))) {
            probes.push(now);
            schedule.noteFailure(now);
        }
    }
    return probes;
}

describe("ProbeSchedule", () => {
    it("probes a target without a sign of life ever more rarely, up to 2 s apart", () => {
        const probes = runProbes(new ProbeSchedule(unlimited), () => never);
        expect(probes.slice(0, 6)).toEqual([120, 360, 840, 1_800, 3_720, 5_720]);
        expect(probes.length).toBeLessThan(15);
    });

    it("probes a target soon after each of its heartbeats, though its budget is spent", () => {
        const probes = runProbes(new ProbeSchedule({ takeProbe: () => false }), now => now - now % 1_500);
        expect(probes).toHaveLength(13);
        expect(Math.max(...probes.map(probe => probe % 1_500))).toBeLessThan(200);
    });

    it("begins anew after a response", () => {
        const schedule = new ProbeSchedule(unlimited);
        runProbes(schedule, () => never);
        schedule.noteResponse();
        expect(runProbes(schedule, () => never)[0]).toBe(120);
    });
});

describe("ProbeBudget", () => {
    it("lets no more probes through than its rate", async () => {
        const clock = new ManualClock();
        const budget = new ProbeBudget(50, clock);
        let taken = 0;
        for (let tick = 0; tick < 1_000; tick++) {
            taken += budget.takeProbe() ? 1 : 0;
            taken += budget.takeProbe() ? 1 : 0;
            await clock.runFor(10);
        }
        expect(taken).toBeGreaterThan(500);
        expect(taken).toBeLessThanOrEqual(550);
    });
});
