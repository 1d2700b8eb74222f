import { describe, expect, it } from "@jest/globals";

import { isVmDown } from "./is-vm-down.js";

const upkeep = { orderedAtMs: 10_000, nowMs: 11_000, maintenanceMs: 2_000, incarnation: 500 };

describe("a VM whose maintenance was ordered", () => {
    it("is down until a target that was born afterwards is there", () => {
        expect(isVmDown(upkeep)).toBe(true);
        expect(isVmDown({ ...upkeep, nowMs: 12_100 })).toBe(true);
        expect(isVmDown({ ...upkeep, nowMs: 12_100, incarnation: 12_000 })).toBe(false);
    });

    it("does not count as down for ever when nothing is heard of it", () => {
        expect(isVmDown({ ...upkeep, nowMs: 13_501, incarnation: 0 })).toBe(false);
    });
});
