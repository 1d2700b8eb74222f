import { InvariantViolation } from "./invariant-violation.js";
import type { Invariant } from "./invariant.js";

/**
 * Throws if an invariant is violated.
 * @param holds - whether the invariant holds
 * @param invariant - the invariant
 * @param describe - returns the details of the violation; called only when there is one
 * @throws InvariantViolation when it does not hold
 */
export function assertInvariant(holds: boolean, invariant: Invariant, describe: () => string): void {
    if (!holds) {
        throw new InvariantViolation(invariant, describe());
    }
}
