import { CommandKind } from "../control/command-kind.js";
import type { ControlState } from "../control/control-state.js";
import { recordCrash } from "../crashes/record-crash.js";
import type { TargetCrash } from "../crashes/target-crash.js";
import { applyRecordEnds } from "../jobs/apply-record-ends.js";
import { RunOutcome } from "../jobs/run-outcome.js";
import type { TargetRecord } from "./target-record.js";
import type { TargetRemoval } from "./target-removal.js";

/**
 * Ends every run on a target incarnation that has ended, and removes the target from the state.
 * @param state - the replicated state
 * @param target - the target
 * @param atMs - wall clock of the leader, milliseconds
 * @param crash - the crash with which it has ended; `undefined` if it ended otherwise
 * @returns the ends of its runs and the tasks that are given up
 */
export function removeTarget(
    state: ControlState,
    target: TargetRecord,
    atMs: number,
    crash: TargetCrash | undefined,
): Omit<TargetRemoval, "isKnown"> {
    const poisonTasks = crash === undefined ? [] : recordCrash(state.fleet, target, crash.runs, atMs);
    const how = crash === undefined ? RunOutcome.TargetGone : RunOutcome.TargetCrashed;
    const runs = [...state.fleet.targetLoads.get(target.id)?.runs ?? []];
    const ends = runs.map(([task, run]) => ({ task, run, target: target.id, how, saved: "" }));
    state.fleet.targets.delete(target.id);
    state.fleet.lapsedRuns.delete(target.id);
    return { ends: applyRecordEnds(state, { kind: CommandKind.RecordEnds, ends, atMs }), poisonTasks };
}
