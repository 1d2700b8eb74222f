import { describe, expect, it } from "@jest/globals";

import { computePace } from "./compute-pace.js";

describe("the pace of fillers", () => {
    it("stops them when users already wait too long, and halves it when they soon would", () => {
        expect(computePace(100, 1.2)).toBe(0);
        expect(computePace(100, 0.9)).toBe(50);
    });

    it("gives it back in steps when the tail is calm, and not in between", () => {
        expect(computePace(0, 0.3)).toBe(20);
        expect(computePace(40, 0.7)).toBe(40);
        expect(computePace(95, 0.1)).toBe(100);
    });
});
