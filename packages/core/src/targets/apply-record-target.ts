import type { ControlState } from "../control/control-state.js";
import type { RecordTargetCommand } from "../control/record-target-command.js";
import { removeTarget } from "./remove-target.js";
import { ReportedTargetState } from "./reported-target-state.js";

/**
 * Records a target. An older life under the same id or at the same address is over, and so is all that ran there.
 * @param state - the replicated state
 * @param command - the command
 * @returns whether it was recorded; false for a report of an older life
 */
export function applyRecordTarget(state: ControlState, { record }: RecordTargetCommand): boolean {
    const { fleet } = state;
    const known = fleet.targets.get(record.id);
    if (known !== undefined && known.incarnation > record.incarnation) {
        return false;
    }
    const others = [...fleet.targets.values()].filter(other => isSameAddress(other, record));
    if (others.some(other => other.incarnation > record.incarnation)) {
        return false;
    }
    if (known !== undefined && known.incarnation < record.incarnation) {
        removeTarget(state, known);
    }
    others.forEach(other => removeTarget(state, other));
    const isLeaving = known?.incarnation === record.incarnation && known.state === ReportedTargetState.Draining;
    // A life that drains never becomes ready again; a report that says so has been overtaken.
    fleet.targets.set(record.id, isLeaving ? { ...record, state: ReportedTargetState.Draining } : record);
    return true;
}

function isSameAddress(other: RecordTargetCommand["record"], record: RecordTargetCommand["record"]): boolean {
    return other.id !== record.id && other.address === record.address;
}
