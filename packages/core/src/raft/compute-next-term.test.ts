import { describe, expect, it } from "@jest/globals";

import { computeNextTerm } from "./compute-next-term.js";
import { tokensPerTerm } from "./tokens-per-term.js";

describe("the term of the next election", () => {
    it("leaves the tokens of the term to its leader", () => {
        for (const term of [0, 1, 7, tokensPerTerm - 1]) {
            expect(computeNextTerm(term)).toBe(tokensPerTerm);
        }
        expect(computeNextTerm(tokensPerTerm)).toBe(2 * tokensPerTerm);
        // A leader of an earlier release was elected after one of this release.
        expect(computeNextTerm(2 * tokensPerTerm + 1)).toBe(3 * tokensPerTerm);
    });
});
