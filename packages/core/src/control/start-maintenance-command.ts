import type { MaintenanceWave } from "../vm-maintenance/maintenance-wave.js";
import type { CommandKind } from "./command-kind.js";

/** Begins a wave of maintenance; a number that is known changes nothing. */
export interface StartMaintenanceCommand {
    readonly kind: CommandKind.StartMaintenance;
    readonly wave: MaintenanceWave;
}
