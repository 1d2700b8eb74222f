import type { Resources } from "./resources.js";

/**
 * Tells whether an amount fits within an available amount.
 * @param needed - the amount needed
 * @param available - the amount available
 * @returns true when no dimension of the first exceeds that of the second
 */
export function isWithin(needed: Resources, available: Resources): boolean {
    return needed.cpu <= available.cpu && needed.memory <= available.memory && needed.gpu <= available.gpu;
}
