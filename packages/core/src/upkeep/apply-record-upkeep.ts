import type { ControlState } from "../control/control-state.js";
import type { RecordUpkeepCommand } from "../control/record-upkeep-command.js";

/**
 * Records that the maintenance of a VM has begun.
 * @param state - the replicated state
 * @param command - the command
 * @returns whether the wave is known
 */
export function applyRecordUpkeep({ fleet }: ControlState, { wave: number, vm }: RecordUpkeepCommand): boolean {
    const wave = fleet.upkeep.get(number);
    if (wave === undefined) {
        return false;
    }
    if (!wave.done.includes(vm)) {
        fleet.upkeep.set(number, { ...wave, done: [...wave.done, vm] });
    }
    return true;
}
