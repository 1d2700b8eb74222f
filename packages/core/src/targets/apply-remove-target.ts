import type { ControlState } from "../control/control-state.js";
import type { RemoveTargetCommand } from "../control/remove-target-command.js";
import { removeTarget } from "./remove-target.js";
import type { TargetRemoval } from "./target-removal.js";

/**
 * Removes a target incarnation that has ended.
 * @param state - the replicated state
 * @param command - the command
 * @returns whether that incarnation was recorded, the ends of its runs and the tasks that are given up
 */
export function applyRemoveTarget(
    state: ControlState,
    { id, incarnation, atMs, crash }: RemoveTargetCommand,
): TargetRemoval {
    const current = state.fleet.targets.get(id);
    if (current === undefined || current.incarnation !== incarnation) {
        return { isKnown: false, ends: [], poisonTasks: [] };
    }
    return { isKnown: true, ...removeTarget(state, current, atMs, crash) };
}
