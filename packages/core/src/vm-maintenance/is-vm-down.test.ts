import { describe, expect, it } from "@jest/globals";

import { isVmDown } from "./is-vm-down.js";

const maintenance = { requestedAtMs: 10_000, nowMs: 11_000, maintenanceMs: 2_000, incarnation: 500 };

describe("a VM whose maintenance was requested", () => {
    it("is down until a target that started after the request is recorded", () => {
        expect(isVmDown(maintenance)).toBe(true);
        expect(isVmDown({ ...maintenance, nowMs: 12_100 })).toBe(true);
        expect(isVmDown({ ...maintenance, nowMs: 12_100, incarnation: 12_000 })).toBe(false);
    });

    it("stops counting as down when no target reports from it in time", () => {
        expect(isVmDown({ ...maintenance, nowMs: 13_501, incarnation: 0 })).toBe(false);
    });
});
