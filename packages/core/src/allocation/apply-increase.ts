import { assertInvariant } from "../invariants/assert-invariant.js";
import type { Invariant } from "../invariants/invariant.js";
import { countGranted } from "./count-granted.js";
import type { ResourceGrants } from "./resource-grants.js";

/**
 * Increases a holder's allowance.
 * @param resource - the grants to change
 * @param holder - name of the holder
 * @param units - the new allowance, units
 * @param sequence - sequence number of the change
 * @param invariant - invariant that is violated when the sum of the ceilings exceeds the capacity
 * @throws InvariantViolation when a higher ceiling makes the sum exceed the capacity
 */
export function applyIncrease(
    resource: ResourceGrants,
    holder: string,
    units: number,
    sequence: number,
    invariant: Invariant,
): void {
    const grant = resource.grants.get(holder) ?? { allowed: 0, ceiling: 0, sequence };
    resource.grants.set(holder, grant);
    const isGrowing = units > grant.ceiling;
    grant.allowed = units;
    grant.ceiling = Math.max(grant.ceiling, units);
    grant.sequence = sequence;
    assertInvariant(
        !isGrowing || countGranted(resource) <= resource.capacity,
        invariant,
        () => `granted ${countGranted(resource)} of ${resource.capacity} units after an increase for ${holder}`,
    );
}
