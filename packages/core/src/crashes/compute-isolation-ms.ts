import type { FleetState } from "../fleet/fleet-state.js";
import { computeProbationMs } from "./compute-probation-ms.js";

/** Longest time for which a run keeps other starts from its target, milliseconds. */
const maxIsolationMs = 1_000;

/**
 * Computes for how long a run of a task runs apart from others. A repeated suspect stays under suspicion until it ends, but
 * a long run would keep its target, and the few that suspects may have at once, from all other tasks.
 * @param fleet - the fleet state
 * @param encodedKey - encoded task key
 * @returns time since its start, milliseconds
 */
export function computeIsolationMs(fleet: FleetState, encodedKey: string): number {
    return Math.min(maxIsolationMs, computeProbationMs(fleet, encodedKey));
}
