import type { CountedDemand } from "./counted-demand.js";
import { expectedShortageUtilization } from "./expected-shortage-utilization.js";

/** Utilization above which a pool is short of VMs; below 1 so that VMs are added before a burst queues. */
const shortageUtilization = 0.75;

/**
 * Computes how much capacity a pool lacks.
 * @param demand - its demand
 * @param capacity - its capacity with the VMs that are under way to it, thousandths of a core
 * @returns thousandths of a core; 0 or less for a pool that is not short
 */
export function computeShortage({ current, expected }: CountedDemand, capacity: number): number {
    return Math.max(current / shortageUtilization, expected / expectedShortageUtilization) - capacity;
}
