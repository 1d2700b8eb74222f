import type { FleetState } from "./fleet-state.js";

/**
 * Encodes the fleet state for a snapshot, without the jobs and what derives from them.
 * @param state - the state
 * @returns plain data for decodeFleetState
 */
export function encodeFleetState(state: FleetState): unknown {
    return {
        configuration: state.configuration,
        targets: [...state.targets.values()],
        vmHomes: [...state.vmHomes],
        vmOrders: [...state.vmOrders],
        upkeep: [...state.maintenanceWaves.values()],
        lapsedRuns: [...state.lapsedRuns],
    };
}
