import { describe, expect, it } from "@jest/globals";

import { KeeperReachability } from "./keeper-reachability.js";

describe("KeeperReachability", () => {
    it("reports the quorum as reachable while a majority responds", () => {
        const reachability = new KeeperReachability(["a", "b", "c"]);
        reachability.recordTimeout("a", 0);
        expect(reachability.isQuorumUnreachable(0)).toBe(false);
    });

    it("reports the quorum as unreachable when a majority times out, until one responds", () => {
        const reachability = new KeeperReachability(["a", "b", "c"]);
        reachability.recordTimeout("a", 0);
        reachability.recordTimeout("b", 100);
        expect(reachability.isQuorumUnreachable(200)).toBe(true);
        reachability.recordResponse("b");
        expect(reachability.isQuorumUnreachable(200)).toBe(false);
    });

    it("ignores timeouts after their validity period", () => {
        const reachability = new KeeperReachability(["a"]);
        reachability.recordTimeout("a", 0);
        expect(reachability.isQuorumUnreachable(900)).toBe(true);
        expect(reachability.isQuorumUnreachable(1_100)).toBe(false);
    });

    it("tolerates refused connections for the time of a restart, then treats them as a partition", () => {
        const reachability = new KeeperReachability(["a", "b", "c"]);
        for (let now = 0; now < 800; now += 100) {
            reachability.recordConnectionRefused("a", now);
            reachability.recordConnectionRefused("b", now);
            reachability.recordResponse("c");
        }
        expect(reachability.isQuorumUnreachable(800)).toBe(false);
        reachability.recordConnectionRefused("a", 900);
        reachability.recordConnectionRefused("b", 900);
        expect(reachability.isQuorumUnreachable(900)).toBe(true);
        reachability.recordResponse("a");
        reachability.recordConnectionRefused("a", 1_000);
        expect(reachability.isQuorumUnreachable(1_000)).toBe(false);
    });

    it("drops the timeouts of removed keepers", () => {
        const reachability = new KeeperReachability(["a", "b", "c"]);
        reachability.recordTimeout("a", 0);
        reachability.recordTimeout("b", 0);
        reachability.setKeepers(["c", "d", "e"]);
        expect(reachability.isQuorumUnreachable(0)).toBe(false);
        reachability.recordTimeout("d", 0);
        reachability.recordTimeout("e", 0);
        expect(reachability.isQuorumUnreachable(0)).toBe(true);
    });

    it("ignores timeouts of unknown keepers", () => {
        const reachability = new KeeperReachability(["a", "b", "c"]);
        reachability.recordTimeout("x", 0);
        reachability.recordTimeout("y", 0);
        expect(reachability.isQuorumUnreachable(0)).toBe(false);
    });
});
