import type { ControlState } from "../control/control-state.js";
import type { RecordMoveCommand } from "../control/record-move-command.js";

/**
 * Records the request to move a VM and removes the targets on it, so that nothing can start there. When a target of the
 * VM announces itself again, the VM has not been moved.
 * @param state - the replicated state
 * @param command - the command
 * @returns false when a task may be running on the VM, which then stays in its pool
 */
export function applyRecordMove(
    { fleet }: ControlState,
    { vm, from, to, token, holder, atMs }: RecordMoveCommand,
): boolean {
    const targets = [...fleet.targets.values()].filter(target => target.vm === vm);
    if (targets.some(({ id }) => (fleet.targetLoads.get(id)?.runs.size ?? 0) > 0)) {
        return false;
    }
    targets.forEach(({ id }) => fleet.targets.delete(id));
    fleet.vmOrders.set(vm, { token, holder, atMs });
    if (from !== to && !fleet.vmHomes.has(vm)) {
        fleet.vmHomes.set(vm, from);
    }
    return true;
}
