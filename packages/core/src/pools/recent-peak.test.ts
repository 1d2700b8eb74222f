import { describe, expect, it } from "@jest/globals";

import { RecentPeak } from "./recent-peak.js";

describe("RecentPeak", () => {
    it("is the highest value of the window", () => {
        const peak = new RecentPeak(1_000);
        const values = [5, 3, 4, 1].map((value, index) => peak.addSample(400 * index, value));
        expect(values).toEqual([5, 5, 5, 4]);
        expect(peak.addSample(5_000, 0)).toBe(0);
    });
});
