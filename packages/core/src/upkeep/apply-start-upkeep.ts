import type { ControlState } from "../control/control-state.js";
import type { StartUpkeepCommand } from "../control/start-upkeep-command.js";

/**
 * Begins a wave of maintenance.
 * @param state - the replicated state
 * @param command - the command
 * @returns false when the number was known already, which changes nothing
 */
export function applyStartUpkeep({ fleet }: ControlState, { wave }: StartUpkeepCommand): boolean {
    if (fleet.upkeep.has(wave.number)) {
        return false;
    }
    fleet.upkeep.set(wave.number, wave);
    return true;
}
