import type { Invariant } from "./invariant.js";

/** Thrown when an invariant is violated. */
export class InvariantViolation extends Error {
    override readonly name = "InvariantViolation";

    /**
     * @param invariant - the violated invariant
     * @param detail - the observed values
     */
    constructor(readonly invariant: Invariant, readonly detail: string) {
        super(`${invariant}: ${detail}`);
    }
}
