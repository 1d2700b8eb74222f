import type { PlacementTarget } from "../placement-target.js";

/**
 * Filter: a target may start more tasks. A target with a half-open circuit runs one task at a time, and one in quarantine
 * starts nothing beside the task that may crash it.
 * @param target - the target
 * @returns true when at least one more task may start there
 */
export function isStartAllowed(target: PlacementTarget): boolean {
    return target.startsLeft >= 1 && !target.isQuarantined;
}
