import { describe, expect, it } from "@jest/globals";

import { isVmDown } from "./is-vm-down.js";

const maintenance = { requestedAtMs: 10_000, nowMs: 11_000, maintenanceMs: 2_000, incarnation: 500 };

describe("a VM whose maintenance was requested", () => {
    it("counts as down until a target that started after the request is recorded", () => {
        expect(isVmDown(maintenance)).toBe(true);
        expect(isVmDown({ ...maintenance, nowMs: 12_100 })).toBe(true);
        expect(isVmDown({ ...maintenance, nowMs: 12_100, incarnation: 12_000 })).toBe(false);
    });

    it("no longer counts as down once it is overdue, even if no target is recorded on it", () => {
        expect(isVmDown({ ...maintenance, nowMs: 13_501, incarnation: 0 })).toBe(false);
    });
});
