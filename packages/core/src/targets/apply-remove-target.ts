import type { ControlState } from "../control/control-state.js";
import type { RemoveTargetCommand } from "../control/remove-target-command.js";
import { removeTarget } from "./remove-target.js";

/**
 * Forgets a target life that is over.
 * @param state - the replicated state
 * @param command - the command
 * @returns whether that life was known
 */
export function applyRemoveTarget(state: ControlState, { id, incarnation }: RemoveTargetCommand): boolean {
    const known = state.fleet.targets.get(id);
    if (known === undefined || known.incarnation !== incarnation) {
        return false;
    }
    removeTarget(state, known);
    return true;
}
