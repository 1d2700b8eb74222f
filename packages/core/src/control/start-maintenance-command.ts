import type { MaintenanceWave } from "../vm-maintenance/maintenance-wave.js";
import type { CommandKind } from "./command-kind.js";

/** Starts a maintenance wave. Changes nothing if a wave with the same number exists. */
export interface StartMaintenanceCommand {
    readonly kind: CommandKind.StartMaintenance;
    readonly wave: MaintenanceWave;
}
