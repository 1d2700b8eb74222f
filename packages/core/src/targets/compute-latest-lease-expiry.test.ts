import { describe, expect, it } from "@jest/globals";

import { computeLatestLeaseExpiry } from "./compute-latest-lease-expiry.js";

const requestedLeaseMs = 4_500;
const maxLeaseMs = 6_000;
const durations = { requestedLeaseMs, maxLeaseMs };

describe("the latest expiry of the leases on a target", () => {
    it("covers a lease that an earlier leader granted in its last moment, on the slowest clock", () => {
        const expiry = computeLatestLeaseExpiry({
            leadingSince: 1_000,
            strayRequestsUntil: undefined,
            ownExpiry: undefined,
            ...durations,
        });
        expect(expiry).toBeCloseTo(1_000 + requestedLeaseMs / 0.98);
    });

    it("covers the longest lease after requests that were meant for an earlier incarnation", () => {
        const expiry = computeLatestLeaseExpiry({
            leadingSince: 1_000,
            strayRequestsUntil: 3_000,
            ownExpiry: 5_000,
            ...durations,
        });
        expect(expiry).toBeCloseTo(3_000 + maxLeaseMs / 0.98);
    });

    it("covers the leases of this leader", () => {
        const expiry = computeLatestLeaseExpiry({
            leadingSince: 1_000,
            strayRequestsUntil: undefined,
            ownExpiry: 60_000,
            ...durations,
        });
        expect(expiry).toBe(60_000);
    });
});
