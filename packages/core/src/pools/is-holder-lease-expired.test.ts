import { describe, expect, it } from "@jest/globals";

import { isHolderLeaseExpired } from "./is-holder-lease-expired.js";

const leaseMs = 3_000;
const request = { token: 1, holder: "core-1", atMs: 100_000 };
const view = { request, holder: "core-2", seenForMs: 10, nowMs: 101_000, leaseMs };

describe("the lease on a VM after a change of leader", () => {
    it("is valid while the request of another holder is newer than the lease", () => {
        expect(isHolderLeaseExpired(view)).toBe(false);
    });

    it("is expired once this process has had the request for longer than the lease", () => {
        expect(isHolderLeaseExpired({ ...view, seenForMs: 3_001 })).toBe(true);
    });

    it("is expired for a process that has just started when the request is older than lease plus clock skew", () => {
        expect(isHolderLeaseExpired({ ...view, nowMs: 112_900 })).toBe(false);
        expect(isHolderLeaseExpired({ ...view, nowMs: 113_001 })).toBe(true);
    });

    it("is not expired because the wall clock of this process has jumped ahead by some seconds", () => {
        expect(isHolderLeaseExpired({ ...view, nowMs: 101_000 + 5_000 })).toBe(false);
    });

    it("does not block the holder itself", () => {
        expect(isHolderLeaseExpired({ ...view, holder: "core-1" })).toBe(true);
    });
});
