import { describe, expect, it } from "@jest/globals";

import { KeeperReachability } from "./keeper-reachability.js";

describe("contact with the keepers", () => {
    it("is there while most of them answer", () => {
        const contact = new KeeperReachability(["a", "b", "c"]);
        contact.recordTimeout("a", 0);
        expect(contact.isQuorumUnreachable(0)).toBe(false);
    });

    it("is lost when most of them are silent, and back with an answer", () => {
        const contact = new KeeperReachability(["a", "b", "c"]);
        contact.recordTimeout("a", 0);
        contact.recordTimeout("b", 100);
        expect(contact.isQuorumUnreachable(200)).toBe(true);
        contact.recordResponse("b");
        expect(contact.isQuorumUnreachable(200)).toBe(false);
    });

    it("is tried again when the silence is some time ago", () => {
        const contact = new KeeperReachability(["a"]);
        contact.recordTimeout("a", 0);
        expect(contact.isQuorumUnreachable(900)).toBe(true);
        expect(contact.isQuorumUnreachable(1_100)).toBe(false);
    });

    it("bears refused connections for as long as a restart takes, and takes them for a partition afterwards", () => {
        const contact = new KeeperReachability(["a", "b", "c"]);
        for (let now = 0; now < 800; now += 100) {
            contact.recordConnectionRefused("a", now);
            contact.recordConnectionRefused("b", now);
            contact.recordResponse("c");
        }
        expect(contact.isQuorumUnreachable(800)).toBe(false);
        contact.recordConnectionRefused("a", 900);
        contact.recordConnectionRefused("b", 900);
        expect(contact.isQuorumUnreachable(900)).toBe(true);
        contact.recordResponse("a");
        contact.recordConnectionRefused("a", 1_000);
        expect(contact.isQuorumUnreachable(1_000)).toBe(false);
    });

    it("follows the keepers that there are", () => {
        const contact = new KeeperReachability(["a", "b", "c"]);
        contact.recordTimeout("a", 0);
        contact.recordTimeout("b", 0);
        contact.setKeepers(["c", "d", "e"]);
        expect(contact.isQuorumUnreachable(0)).toBe(false);
        contact.recordTimeout("d", 0);
        contact.recordTimeout("e", 0);
        expect(contact.isQuorumUnreachable(0)).toBe(true);
    });

    it("does not count keepers beyond those it knows", () => {
        const contact = new KeeperReachability(["a", "b", "c"]);
        contact.recordTimeout("x", 0);
        contact.recordTimeout("y", 0);
        expect(contact.isQuorumUnreachable(0)).toBe(false);
    });
});
