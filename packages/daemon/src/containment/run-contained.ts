import { InvariantViolation } from "@daisylock/core/invariants/invariant-violation.js";

import type { FaultListener } from "./fault-listener.js";
import type { Work } from "./work.js";

/**
 * Runs work so that a fault costs only what the work is done for. A broken invariant is passed on, because it says that
 * shared state can't be trusted.
 * @param noteFault - called with a fault
 * @param work - what is run, and for what
 * @param run - runs the work
 * @param recover - called after a fault, computes the result in place of the work; must itself wait before the same work
 *     is repeated in a loop
 * @returns the result of the work, or of the recovery
 * @throws InvariantViolation when the work broke an invariant
 */
export async function runContained<Value>(
    noteFault: FaultListener,
    work: Work,
    run: () => Promise<Value> | Value,
    recover: () => Promise<Value> | Value,
): Promise<Value> {
    try {
        return await run();
    }
    catch (error) {
        if (error instanceof InvariantViolation) {
            throw error;
        }
        noteFault({ ...work, error });
    }
    return recover();
}
