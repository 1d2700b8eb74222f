import type { FleetState } from "./fleet-state.js";

/**
 * Counts the estimated memory of all jobs.
 * @param fleet - the fleet state
 * @returns the memory in bytes
 */
export function countJobBytes({ accountBytes }: Pick<FleetState, "accountBytes">): number {
    return [...accountBytes.values()].reduce((sum, bytes) => sum + bytes, 0);
}
