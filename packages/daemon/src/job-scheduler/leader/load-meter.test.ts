import { describe, expect, it } from "@jest/globals";

import { LoadMeter } from "./load-meter.js";

describe("LoadMeter", () => {
    it("reports the rounds and requests of each interval apart", () => {
        const meter = new LoadMeter();
        meter.noteRound(4);
        meter.noteRound(11);
        meter.noteRequest();
        expect(meter.takeInterval()).toMatchObject({ rounds: 2, roundMs: 15, longestRoundMs: 11, requests: 1 });
        expect(meter.takeInterval()).toMatchObject({ rounds: 0, roundMs: 0, longestRoundMs: 0, requests: 0 });
    });

    it("reports the processor time of the interval", () => {
        const meter = new LoadMeter();
        const endsAt = performance.now() + 60;
        while (performance.now() < endsAt) {
            // Keeps the processor busy.
        }
        expect(meter.takeInterval().cpuMs).toBeGreaterThan(20);
        expect(meter.takeInterval().cpuMs).toBeLessThan(20);
    });
});
