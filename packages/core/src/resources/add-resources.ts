import type { Resources } from "./resources.js";

/**
 * Adds a multiple of an amount to another.
 * @param total - the amount so far
 * @param part - the amount to add
 * @param times - the factor; negative to subtract
 * @returns the sum
 */
export function addResources(total: Resources, part: Resources, times = 1): Resources {
    return {
        cpu: total.cpu + part.cpu * times,
        memory: total.memory + part.memory * times,
        gpu: total.gpu + part.gpu * times,
    };
}
