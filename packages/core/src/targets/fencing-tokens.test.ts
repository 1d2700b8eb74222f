import { describe, expect, it } from "@jest/globals";

import { computeNextTerm } from "../raft/compute-next-term.js";
import { tokensPerTerm } from "../raft/tokens-per-term.js";
import { FencingTokens } from "./fencing-tokens.js";

const term = 5 * tokensPerTerm;

describe("the fencing tokens of a leadership", () => {
    it("rise with each session with a target, from the term on", () => {
        const tokens = new FencingTokens(term);
        expect([tokens.isUsed("t0"), tokens.read("t0")]).toEqual([false, term]);
        expect([tokens.takeNext("t0"), tokens.takeNext("t0"), tokens.takeNext("t1")]).toEqual([term, term + 1, term]);
        expect([tokens.isUsed("t0"), tokens.read("t0"), tokens.read("t1")]).toEqual([true, term + 1, term]);
    });

    it("stay below those of the next leader, however often a target restarts", () => {
        const tokens = new FencingTokens(term);
        for (let session = 0; session < 2 * tokensPerTerm; session++) {
            expect(tokens.takeNext("t0")).toBeLessThan(computeNextTerm(term));
        }
    });
});
