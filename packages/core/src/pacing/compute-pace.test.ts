import { describe, expect, it } from "@jest/globals";

import { computePace } from "./compute-pace.js";

describe("pace of fillers", () => {
    it("is 0 when the tail latency exceeds its limit, and is halved when the tail latency is near the limit", () => {
        expect(computePace(100, 1.2)).toBe(0);
        expect(computePace(100, 0.9)).toBe(50);
    });

    it("rises in steps while the tail latency is low, and is unchanged in between", () => {
        expect(computePace(0, 0.3)).toBe(20);
        expect(computePace(40, 0.7)).toBe(40);
        expect(computePace(95, 0.1)).toBe(100);
    });
});
