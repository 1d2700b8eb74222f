import { InvariantViolation } from "./invariant-violation.js";
import type { Invariant } from "./invariant.js";

/**
 * Asserts an invariant.
 * @param holds - whether it holds
 * @param invariant - which invariant
 * @param describe - says what was seen; called only on a violation
 * @throws InvariantViolation when it does not hold
 */
export function assertInvariant(holds: boolean, invariant: Invariant, describe: () => string): void {
    if (!holds) {
        throw new InvariantViolation(invariant, describe());
    }
}
