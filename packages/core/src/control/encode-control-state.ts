import { encodeFleetState } from "../fleet/encode-fleet-state.js";
import { encodeTables } from "../tables/encode-tables.js";
import type { ControlState } from "./control-state.js";

/**
 * Encodes the replicated state for a snapshot, without the recent table updates.
 * @param state - the state
 * @returns text for decodeControlState
 */
export function encodeControlState(state: ControlState): string {
    return JSON.stringify({
        tables: encodeTables(state.tables),
        changes: [...state.changes],
        dispatches: [...state.dispatches],
        waves: [...state.waves.values()].map(wave => ({ ...wave, vms: [...wave.vms] })),
        fleet: encodeFleetState(state.fleet),
        grants: [...state.grants].map(([team, holders]) => [team, [...holders]]),
    });
}
