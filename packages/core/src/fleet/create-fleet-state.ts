import { createTargetTable } from "../targets/create-target-table.js";
import type { FleetState } from "./fleet-state.js";

/**
 * Creates the fleet state of a new cluster.
 * @returns the empty state
 */
export function createFleetState(): FleetState {
    return {
        configuration: undefined,
        jobs: new Map(),
        targets: createTargetTable(),
        vmHomes: new Map(),
        vmOrders: new Map(),
        maintenanceWaves: new Map(),
        lapsedRuns: new Map(),
        activeJobs: new Set(),
        suspectTasks: new Set(),
        targetLoads: new Map(),
        accountLoads: new Map(),
        jobCpus: new Map(),
        jobBytes: new Map(),
        accountBytes: new Map(),
    };
}
