import { describe, expect, it } from "@jest/globals";

import { TargetLeases } from "./target-leases.js";

const requestedLeaseMs = 4_500;
const maxLeaseMs = 6_000;
const longestMs = maxLeaseMs / 0.98;
const wallMs = 1_800_000_000_000;
const session = {
    incarnation: wallMs - 3_600_000,
    wallMs,
    openedAt: 20_000,
    leadingSince: 10_000,
    maxLeaseMs,
    isRestarted: false,
};

describe("the leases that a target may hold", () => {
    it("are those of the leader before, until this one grants some", () => {
        const leases = new TargetLeases(session);
        expect(leases.computeExpiry()).toBeCloseTo(10_000 + requestedLeaseMs / 0.98);
        leases.clock.noteReading(500_000, 20_010);
        leases.clock.noteLease(leases.computeRequestedEnd(20_010) ?? 0);
        expect(leases.computeExpiry()).toBeCloseTo(20_010 + requestedLeaseMs / 0.98);
    });

    it("may be the longest ones on a target that has started shortly before, as if it were the one before", () => {
        const leases = new TargetLeases({ ...session, incarnation: wallMs - 5_000 });
        expect(leases.computeExpiry()).toBeCloseTo(10_000 + longestMs);
        leases.noteFenced(20_010);
        expect(leases.computeExpiry()).toBeCloseTo(20_010 + longestMs);
    });

    it("may come from late requests until a new incarnation has executed one of its session", () => {
        const leases = new TargetLeases({ ...session, isRestarted: true });
        expect(leases.computeExpiry()).toBeCloseTo(20_000 + 12_000 + longestMs);
        leases.noteFenced(20_010);
        leases.noteFenced(30_000);
        expect(leases.computeExpiry()).toBeCloseTo(20_010 + longestMs);
    });

    it("may be the longest ones once another incarnation has executed a request of the session", () => {
        const leases = new TargetLeases(session);
        leases.noteFenced(20_010);
        leases.noteOtherIncarnation(25_000);
        expect(leases.computeExpiry()).toBeCloseTo(25_000 + longestMs);
    });
});
