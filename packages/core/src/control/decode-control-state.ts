import { decodeTables } from "../tables/decode-tables.js";
import type { ChangeRecord } from "./change-record.js";
import type { ControlState } from "./control-state.js";
import type { DispatchRecord } from "./dispatch-record.js";

/**
 * Decodes the replicated state of a snapshot.
 * @param text - the output of encodeControlState
 * @returns the state
 */
export function decodeControlState(text: string): ControlState {
    const saved = JSON.parse(text) as {
        tables: string;
        changes: [string, ChangeRecord][];
        dispatches: [string, DispatchRecord][];
        grants: [string, [string, number][]][];
    };
    return {
        tables: decodeTables(saved.tables),
        changes: new Map(saved.changes),
        dispatches: new Map(saved.dispatches),
        grants: new Map(saved.grants.map(([team, holders]) => [team, new Map(holders)])),
        recentUpdates: [],
    };
}
