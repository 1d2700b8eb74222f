import type { Invariant } from "./invariant.js";

/** Thrown when the program finds one of its invariants broken. */
export class InvariantViolation extends Error {
    override readonly name = "InvariantViolation";

    /**
     * @param invariant - which invariant
     * @param detail - what was seen
     */
    constructor(readonly invariant: Invariant, readonly detail: string) {
        super(`${invariant}: ${detail}`);
    }
}
