import type { ControlState } from "../control/control-state.js";
import type { RecordTargetCommand } from "../control/record-target-command.js";
import { isEndUnplanned } from "../crashes/is-end-unplanned.js";
import { removeTarget } from "./remove-target.js";
import { ReportedTargetState } from "./reported-target-state.js";
import type { TargetRecording } from "./target-recording.js";

/**
 * Records a target. An older incarnation at the same address is removed, and its runs are ended. So is one under the same
 * id, except that its runs are kept while it serves the same pool: their starts may have reached the new incarnation
 * before its first report did, and only its own list tells which of them it runs.
 * @param state - the replicated state
 * @param command - the command
 * @returns whether it was recorded, which it is not for a report of an older incarnation, and the ends of runs
 */
export function applyRecordTarget(state: ControlState, { record, atMs = 0 }: RecordTargetCommand): TargetRecording {
    const { fleet } = state;
    const current = fleet.targets.get(record.id);
    if (current !== undefined && current.incarnation > record.incarnation) {
        return { isNewest: false, ends: [] };
    }
    const others = [...fleet.targets.values()].filter(other => isSameAddress(other, record));
    if (others.some(other => other.incarnation > record.incarnation)) {
        return { isNewest: false, ends: [] };
    }
    const replaced = [...others];
    if (current !== undefined && current.incarnation < record.incarnation && current.pool !== record.pool) {
        replaced.push(current);
    }
    const ends = replaced.flatMap(other => removeTarget(state, other, atMs, isEndUnplanned(fleet, other)));
    const isDraining = current?.incarnation === record.incarnation && current.state === ReportedTargetState.Draining;
    // A draining incarnation never becomes ready again, so a report with that state is outdated.
    fleet.targets.set(record.id, isDraining ? { ...record, state: ReportedTargetState.Draining } : record);
    return { isNewest: true, ends };
}

function isSameAddress(other: RecordTargetCommand["record"], record: RecordTargetCommand["record"]): boolean {
    return other.id !== record.id && other.address === record.address;
}
