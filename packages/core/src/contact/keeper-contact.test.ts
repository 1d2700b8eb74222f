import { describe, expect, it } from "@jest/globals";

import { KeeperContact } from "./keeper-contact.js";

describe("contact with the keepers", () => {
    it("is there while most of them answer", () => {
        const contact = new KeeperContact(["a", "b", "c"]);
        contact.noteSilence("a", 0);
        expect(contact.isCutOff(0)).toBe(false);
    });

    it("is lost when most of them are silent, and back with an answer", () => {
        const contact = new KeeperContact(["a", "b", "c"]);
        contact.noteSilence("a", 0);
        contact.noteSilence("b", 100);
        expect(contact.isCutOff(200)).toBe(true);
        contact.noteAnswer("b");
        expect(contact.isCutOff(200)).toBe(false);
    });

    it("is tried again when the silence is some time ago", () => {
        const contact = new KeeperContact(["a"]);
        contact.noteSilence("a", 0);
        expect(contact.isCutOff(900)).toBe(true);
        expect(contact.isCutOff(1_100)).toBe(false);
    });

    it("bears refused connections for as long as a restart takes, and takes them for a partition afterwards", () => {
        const contact = new KeeperContact(["a", "b", "c"]);
        for (let now = 0; now < 800; now += 100) {
            contact.noteRefusal("a", now);
            contact.noteRefusal("b", now);
            contact.noteAnswer("c");
        }
        expect(contact.isCutOff(800)).toBe(false);
        contact.noteRefusal("a", 900);
        contact.noteRefusal("b", 900);
        expect(contact.isCutOff(900)).toBe(true);
        contact.noteAnswer("a");
        contact.noteRefusal("a", 1_000);
        expect(contact.isCutOff(1_000)).toBe(false);
    });

    it("follows the keepers that there are", () => {
        const contact = new KeeperContact(["a", "b", "c"]);
        contact.noteSilence("a", 0);
        contact.noteSilence("b", 0);
        contact.setKeepers(["c", "d", "e"]);
        expect(contact.isCutOff(0)).toBe(false);
        contact.noteSilence("d", 0);
        contact.noteSilence("e", 0);
        expect(contact.isCutOff(0)).toBe(true);
    });

    it("does not count keepers beyond those it knows", () => {
        const contact = new KeeperContact(["a", "b", "c"]);
        contact.noteSilence("x", 0);
        contact.noteSilence("y", 0);
        expect(contact.isCutOff(0)).toBe(false);
    });
});
