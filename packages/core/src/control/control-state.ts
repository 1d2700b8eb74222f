import type { FleetState } from "../fleet/fleet-state.js";
import type { Wave } from "../reboot-waves/wave.js";
import type { TableUpdate } from "../tables/table-update.js";
import type { Tables } from "../tables/tables.js";
import type { ChangeRecord } from "./change-record.js";
import type { DispatchRecord } from "./dispatch-record.js";

/** The state that the keepers replicate. */
export interface ControlState {
    readonly tables: Tables;
    /** Answers to change ids, oldest first. */
    readonly changes: Map<string, ChangeRecord>;
    /** Records of unrepeatable requests, oldest first. */
    readonly dispatches: Map<string, DispatchRecord>;
    /** Granted part of each team's upper limit, by team and holder. */
    readonly grants: Map<string, Map<string, number>>;
    /** Maintenance waves, oldest first. */
    readonly waves: Map<string, Wave>;
    /** Jobs, targets and their configuration. */
    readonly fleet: FleetState;
    /** The newest table updates, for copies that lag a little. */
    readonly recentUpdates: TableUpdate[];
}
