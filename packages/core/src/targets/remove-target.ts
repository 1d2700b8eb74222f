import { CommandKind } from "../control/command-kind.js";
import type { ControlState } from "../control/control-state.js";
import { applyRecordEnds } from "../jobs/apply-record-ends.js";
import { RunOutcome } from "../jobs/run-outcome.js";
import type { TargetRecord } from "./target-record.js";

/**
 * Ends every run of a target life that is over, and forgets the target.
 * @param state - the replicated state
 * @param target - the target
 */
export function removeTarget(state: ControlState, target: TargetRecord): void {
    const runs = [...state.fleet.targetLoads.get(target.id)?.runs ?? []];
    const ends = runs.map(([task, run]) => ({ task, run, target: target.id, how: RunOutcome.TargetGone, saved: "" }));
    applyRecordEnds(state, { kind: CommandKind.RecordEnds, ends, atMs: 0 });
    state.fleet.targets.delete(target.id);
}
