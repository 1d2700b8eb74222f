import { describe, expect, it } from "@jest/globals";

import { isHolderLeaseExpired } from "./is-holder-lease-expired.js";

const leaseMs = 3_000;
const order = { token: 1, holder: "core-1", atMs: 100_000 };
const seen = { order, holder: "core-2", seenForMs: 10, nowMs: 101_000, leaseMs };

describe("the lease of a VM after a change of leader", () => {
    it("lasts while another holder's order is young", () => {
        expect(isHolderLeaseExpired(seen)).toBe(false);
    });

    it("is over once this process has seen the order for as long", () => {
        expect(isHolderLeaseExpired({ ...seen, seenForMs: 3_001 })).toBe(true);
    });

    it("is over at once for a process that has just started when the order is old by any clock", () => {
        expect(isHolderLeaseExpired({ ...seen, nowMs: 103_900 })).toBe(false);
        expect(isHolderLeaseExpired({ ...seen, nowMs: 104_001 })).toBe(true);
    });

    it("does not bind its own holder", () => {
        expect(isHolderLeaseExpired({ ...seen, holder: "core-1" })).toBe(true);
    });
});
