import { CommandKind } from "../control/command-kind.js";
import type { ControlState } from "../control/control-state.js";
import { applyRecordEnds } from "../jobs/apply-record-ends.js";
import { RunOutcome } from "../jobs/run-outcome.js";
import type { TargetRecord } from "./target-record.js";

/**
 * Ends every run on a target incarnation that has ended, and removes the target from the state.
 * @param state - the replicated state
 * @param target - the target
 */
export function removeTarget(state: ControlState, target: TargetRecord): void {
    const runs = [...state.fleet.targetLoads.get(target.id)?.runs ?? []];
    const ends = runs.map(([task, run]) => ({ task, run, target: target.id, how: RunOutcome.TargetGone, saved: "" }));
    // A run whose target is gone never ends its job, so the time of the end is not used.
    applyRecordEnds(state, { kind: CommandKind.RecordEnds, ends, atMs: 0 });
    state.fleet.targets.delete(target.id);
}
