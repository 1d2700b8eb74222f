import { encodeJob } from "../jobs/encode-job.js";
import type { FleetState } from "./fleet-state.js";

/**
 * Encodes the fleet state for a snapshot, without the loads that derive from the jobs.
 * @param state - the state
 * @returns plain data for decodeFleetState
 */
export function encodeFleetState(state: FleetState): unknown {
    return {
        configuration: state.configuration,
        jobs: [...state.jobs.values()].map(encodeJob),
        targets: [...state.targets.values()],
        vmHomes: [...state.vmHomes],
        vmOrders: [...state.vmOrders],
        upkeep: [...state.maintenanceWaves.values()],
        lapsedRuns: [...state.lapsedRuns],
    };
}
