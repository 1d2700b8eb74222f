import type { Resources } from "./resources.js";

/**
 * Tells whether an amount fits into another.
 * @param part - the amount
 * @param whole - what there is
 * @returns true when no dimension exceeds it
 */
export function isWithin(part: Resources, whole: Resources): boolean {
    return part.cpu <= whole.cpu && part.memory <= whole.memory && part.gpu <= whole.gpu;
}
