import { describe, expect, it } from "@jest/globals";

import { isHolderLeaseOver } from "./is-holder-lease-over.js";

const leaseMs = 3_000;
const order = { token: 1, holder: "core-1", atMs: 100_000 };
const seen = { order, holder: "core-2", seenForMs: 10, nowMs: 101_000, leaseMs };

describe("the lease of a VM after a change of leader", () => {
    it("lasts while another holder's order is young", () => {
        expect(isHolderLeaseOver(seen)).toBe(false);
    });

    it("is over once this process has seen the order for as long", () => {
        expect(isHolderLeaseOver({ ...seen, seenForMs: 3_001 })).toBe(true);
    });

    it("is over at once for a process that has just started when the order is old by any clock", () => {
        expect(isHolderLeaseOver({ ...seen, nowMs: 103_900 })).toBe(false);
        expect(isHolderLeaseOver({ ...seen, nowMs: 104_001 })).toBe(true);
    });

    it("does not bind its own holder", () => {
        expect(isHolderLeaseOver({ ...seen, holder: "core-1" })).toBe(true);
    });
});
