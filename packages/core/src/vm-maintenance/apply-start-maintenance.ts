import type { ControlState } from "../control/control-state.js";
import type { StartMaintenanceCommand } from "../control/start-maintenance-command.js";

/**
 * Begins a wave of maintenance.
 * @param state - the replicated state
 * @param command - the command
 * @returns false when the number was known already, which changes nothing
 */
export function applyStartMaintenance({ fleet }: ControlState, { wave }: StartMaintenanceCommand): boolean {
    if (fleet.maintenanceWaves.has(wave.number)) {
        return false;
    }
    fleet.maintenanceWaves.set(wave.number, wave);
    return true;
}
