import type { ControlState } from "../control/control-state.js";
import type { RecordMoveCommand } from "../control/record-move-command.js";

/**
 * Records a request to move a VM to another pool, or to maintain it in its pool, and removes the targets on the VM, so
 * that no task can start there. A removed target that announces itself again has not been moved and is recorded again.
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
