import type { ControlState } from "../control/control-state.js";
import type { RemoveTargetCommand } from "../control/remove-target-command.js";
import { removeTarget } from "./remove-target.js";

/**
 * Removes a target incarnation that has ended.
 * @param state - the replicated state
 * @param command - the command
 * @returns false when that incarnation was not recorded
 */
export function applyRemoveTarget(state: ControlState, { id, incarnation }: RemoveTargetCommand): boolean {
    const current = state.fleet.targets.get(id);
    if (current === undefined || current.incarnation !== incarnation) {
        return false;
    }
    removeTarget(state, current);
    return true;
}
