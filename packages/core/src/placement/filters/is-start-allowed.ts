import type { PlacementTarget } from "../placement-target.js";

/**
 * Filter: a target that is being tried takes one task at a time.
 * @param target - the target
 * @returns true when one more task may start there
 */
export function isStartAllowed(target: PlacementTarget): boolean {
    return target.startsLeft >= 1;
}
