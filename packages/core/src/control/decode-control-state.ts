import { createFleetState } from "../fleet/create-fleet-state.js";
import { decodeFleetState } from "../fleet/decode-fleet-state.js";
import type { WaveVm } from "../reboot-waves/wave-vm.js";
import type { Wave } from "../reboot-waves/wave.js";
import { decodeTables } from "../tables/decode-tables.js";
import type { ChangeRecord } from "./change-record.js";
import type { ControlState } from "./control-state.js";
import type { DispatchRecord } from "./dispatch-record.js";

/**
 * Decodes the replicated state from a snapshot.
 * @param text - the output of encodeControlState
 * @returns the state, without recent table updates
 */
export function decodeControlState(text: string): ControlState {
    const saved = JSON.parse(text) as {
        tables: string;
        changes: [string, ChangeRecord][];
        dispatches: [string, DispatchRecord][];
        grants: [string, [string, number][]][];
        /** Absent in snapshots that were written before the fleet state existed. */
        fleet?: unknown;
        waves: (Omit<Wave, "vms"> & { vms: [string, WaveVm][] })[];
    };
    return {
        tables: decodeTables(saved.tables),
        changes: new Map(saved.changes),
        dispatches: new Map(saved.dispatches),
        grants: new Map(saved.grants.map(([team, holders]) => [team, new Map(holders)])),
        waves: new Map(saved.waves.map(wave => [wave.id, { ...wave, vms: new Map(wave.vms) }])),
        fleet: saved.fleet === undefined ? createFleetState() : decodeFleetState(saved.fleet),
        recentUpdates: [],
    };
}
