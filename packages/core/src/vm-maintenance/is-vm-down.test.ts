import { describe, expect, it } from "@jest/globals";

import { isVmDown } from "./is-vm-down.js";

const maintenance = { elapsedMs: 1_000, maintenanceMs: 2_000, isRestarted: false };

describe("a VM whose maintenance was requested", () => {
    it("counts as down until another target incarnation is recorded after the maintenance", () => {
        expect(isVmDown(maintenance)).toBe(true);
        expect(isVmDown({ ...maintenance, isRestarted: true })).toBe(true);
        expect(isVmDown({ ...maintenance, elapsedMs: 2_100 })).toBe(true);
        expect(isVmDown({ ...maintenance, elapsedMs: 2_100, isRestarted: true })).toBe(false);
    });

    it("no longer counts as down once it is overdue, even if no target is recorded on it", () => {
        expect(isVmDown({ ...maintenance, elapsedMs: 3_501 })).toBe(false);
    });
});
