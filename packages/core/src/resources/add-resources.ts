import type { Resources } from "./resources.js";

/**
 * Adds an amount several times.
 * @param total - the amount so far
 * @param part - the amount to add
 * @param times - how often; negative to subtract
 * @returns the sum
 */
export function addResources(total: Resources, part: Resources, times = 1): Resources {
    return {
        cpu: total.cpu + part.cpu * times,
        memory: total.memory + part.memory * times,
        gpu: total.gpu + part.gpu * times,
    };
}
