import type { ControlState } from "../control/control-state.js";
import type { RecordMaintenanceCommand } from "../control/record-maintenance-command.js";

/**
 * Records that the maintenance of a VM has begun.
 * @param state - the replicated state
 * @param command - the command
 * @returns whether the wave is known
 */
export function applyRecordMaintenance(
    { fleet }: ControlState,
    { wave: number, vm }: RecordMaintenanceCommand,
): boolean {
    const wave = fleet.maintenanceWaves.get(number);
    if (wave === undefined) {
        return false;
    }
    if (!wave.done.includes(vm)) {
        fleet.maintenanceWaves.set(number, { ...wave, done: [...wave.done, vm] });
    }
    return true;
}
