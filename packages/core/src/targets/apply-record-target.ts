import type { ControlState } from "../control/control-state.js";
import type { RecordTargetCommand } from "../control/record-target-command.js";
import { recordCrash } from "../crashes/record-crash.js";
import type { TargetCrash } from "../crashes/target-crash.js";
import { removeTarget } from "./remove-target.js";
import { ReportedTargetState } from "./reported-target-state.js";
import type { TargetRecord } from "./target-record.js";
import type { TargetRecording } from "./target-recording.js";

const notRecorded: TargetRecording = { isNewest: false, ends: [], poisonTasks: [] };

/**
 * Records a target. An older incarnation at the same address is removed, and its runs are ended. So is one under the same
 * id, except that its runs are kept while it serves the same pool: their starts may have reached the new incarnation
 * before its first report did, and only its own list tells which of them it runs. A report that an answer of the target
 * has verified replaces whatever is recorded; any other gives way to a later incarnation or report.
 * @param control - the replicated state
 * @param command - the command
 * @returns whether it was recorded, which it is not for a report of an older incarnation, and what became of runs on
 *     incarnations that it replaces
 */
export function applyRecordTarget(
    control: ControlState,
    { record, sequence, clockMs, isVerified = false, crashes = [], atMs = 0 }: RecordTargetCommand,
): TargetRecording {
    const { fleet } = control;
    const current = fleet.targets.get(record.id);
    const isOutdated = !isVerified && current !== undefined
        && (current.incarnation > record.incarnation
            || (current.incarnation === record.incarnation && (sequence ?? Infinity) < (current.reportSequence ?? 0)));
    if (isOutdated) {
        return notRecorded;
    }
    const others = [...fleet.targets.values()].filter(other => isSameAddress(other, record));
    if (!isVerified && others.some(other => other.incarnation > record.incarnation)) {
        return notRecorded;
    }
    const replaced = current?.incarnation === record.incarnation ? undefined : current;
    const poisonTasks: string[] = [];
    if (replaced !== undefined && replaced.pool === record.pool) {
        const crash = findCrash(replaced, crashes);
        poisonTasks.push(...crash === undefined ? [] : recordCrash(fleet, replaced, crash.runs, atMs));
    }
    else if (replaced !== undefined) {
        others.push(replaced);
    }
    const removals = others.map(other => removeTarget(control, other, atMs, findCrash(other, crashes)));
    // A draining incarnation never becomes ready again: either report is outdated, or the earlier one was not the target's.
    const isDraining = !isVerified && current?.incarnation === record.incarnation
        && current.state === ReportedTargetState.Draining;
    const state = isDraining ? ReportedTargetState.Draining : record.state;
    fleet.targets.set(record.id, {
        ...record,
        state,
        reportSequence: sequence,
        ...clockMs === undefined ? {} : { reportClockMs: clockMs },
    });
    return {
        isNewest: true,
        ends: removals.flatMap(({ ends }) => ends),
        poisonTasks: [...poisonTasks, ...removals.flatMap(removal => removal.poisonTasks)],
    };
}

function isSameAddress(other: TargetRecord, record: TargetRecord): boolean {
    return other.id !== record.id && other.address === record.address;
}

function findCrash(target: TargetRecord, crashes: readonly TargetCrash[]): TargetCrash | undefined {
    return crashes.find(crash => crash.target === target.id);
}
