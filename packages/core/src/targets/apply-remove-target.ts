import type { ControlState } from "../control/control-state.js";
import type { RemoveTargetCommand } from "../control/remove-target-command.js";
import { applyTargetGone } from "./apply-target-gone.js";

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
    applyTargetGone(state, known);
    return true;
}
