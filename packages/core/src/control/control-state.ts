import type { FleetState } from "../fleet/fleet-state.js";
import type { Wave } from "../reboot-waves/wave.js";
import type { TableUpdate } from "../tables/table-update.js";
import type { Tables } from "../tables/tables.js";
import type { ChangeRecord } from "./change-record.js";
import type { DispatchRecord } from "./dispatch-record.js";

/** The replicated state of the control plane, held by every keeper. */
export interface ControlState {
    readonly tables: Tables;
    /** Stored results of table changes by change id, oldest first. */
    readonly changes: Map<string, ChangeRecord>;
    /** Records of unrepeatable requests by dispatch id, oldest first. */
    readonly dispatches: Map<string, DispatchRecord>;
    /** Part of each team's upper limit that is granted to a holder, by team and holder. */
    readonly grants: Map<string, Map<string, number>>;
    /** Reboot waves by id, oldest first. */
    readonly waves: Map<string, Wave>;
    /** Jobs, targets, maintenance waves and their configuration. */
    readonly fleet: FleetState;
    /** The newest table updates, for copies that lag slightly; not part of a snapshot. */
    readonly recentUpdates: TableUpdate[];
}
