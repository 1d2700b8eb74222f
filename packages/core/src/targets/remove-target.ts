import { CommandKind } from "../control/command-kind.js";
import type { ControlState } from "../control/control-state.js";
import { applyRecordEnds } from "../jobs/apply-record-ends.js";
import { RunOutcome } from "../jobs/run-outcome.js";
import type { TaskEnd } from "../jobs/task-end.js";
import type { TargetRecord } from "./target-record.js";

/**
 * Ends every run on a target incarnation that has ended, and removes the target from the state.
 * @param state - the replicated state
 * @param target - the target
 * @param atMs - wall clock of the leader, milliseconds
 * @param isCrashed - whether the target has crashed
 * @returns the ends of its runs
 */
export function removeTarget(
    state: ControlState,
    target: TargetRecord,
    atMs: number,
    isCrashed: boolean,
): readonly TaskEnd[] {
    const how = isCrashed ? RunOutcome.TargetCrashed : RunOutcome.TargetGone;
    const runs = [...state.fleet.targetLoads.get(target.id)?.runs ?? []];
    const ends = runs.map(([task, run]) => ({ task, run, target: target.id, how, saved: "" }));
    state.fleet.targets.delete(target.id);
    return applyRecordEnds(state, { kind: CommandKind.RecordEnds, ends, atMs });
}
