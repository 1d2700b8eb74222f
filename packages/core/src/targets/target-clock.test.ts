import { describe, expect, it } from "@jest/globals";

import { TargetClock } from "./target-clock.js";

describe("the clock of a target", () => {
    // A bound kept from the first answer let an untrusted sender be ahead by 2 % of the age of the session.
    it("is bounded by the latest answer, also when it is slow", () => {
        const clock = new TargetClock();
        for (let at = 0; at <= 600_000; at += 1_000) {
            clock.noteAnswer(0.98 * at, at);
        }
        const reading = 0.98 * 600_000;
        expect(clock.isAhead(reading, 600_000)).toBe(false);
        expect(clock.isAhead(reading + 1_100, 600_000)).toBe(true);
    });
});
