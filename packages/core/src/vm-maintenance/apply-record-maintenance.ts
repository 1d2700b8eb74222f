import type { ControlState } from "../control/control-state.js";
import type { RecordMaintenanceCommand } from "../control/record-maintenance-command.js";

/**
 * Records that the maintenance of a VM has begun.
 * @param state - the replicated state
 * @param command - the command
 * @returns false when the wave is not recorded
 */
export function applyRecordMaintenance(
    { fleet }: ControlState,
    { wave: waveNumber, vm }: RecordMaintenanceCommand,
): boolean {
    const wave = fleet.maintenanceWaves.get(waveNumber);
    if (wave === undefined) {
        return false;
    }
    if (!wave.done.includes(vm)) {
        fleet.maintenanceWaves.set(waveNumber, { ...wave, done: [...wave.done, vm] });
    }
    return true;
}
