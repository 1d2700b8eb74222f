import type { ControlState } from "../control/control-state.js";
import type { StartMaintenanceCommand } from "../control/start-maintenance-command.js";

/**
 * Records the start of a wave of VM maintenance.
 * @param state - the replicated state
 * @param command - the command
 * @returns false when a wave of that number is already recorded, which stays unchanged
 */
export function applyStartMaintenance({ fleet }: ControlState, { wave }: StartMaintenanceCommand): boolean {
    if (fleet.maintenanceWaves.has(wave.number)) {
        return false;
    }
    fleet.maintenanceWaves.set(wave.number, wave);
    return true;
}
