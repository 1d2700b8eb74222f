import { createFleetState } from "../fleet/create-fleet-state.js";
import { createTables } from "../tables/create-tables.js";
import type { ControlState } from "./control-state.js";

/**
 * Creates the replicated state of a new cluster.
 * @returns the empty state
 */
export function createControlState(): ControlState {
    return {
        tables: createTables(),
        changes: new Map(),
        dispatches: new Map(),
        grants: new Map(),
        waves: new Map(),
        fleet: createFleetState(),
        recentUpdates: [],
    };
}
