import { applyConfiguration } from "../configuration/apply-configuration.js";
import { applyCancelJob } from "../jobs/apply-cancel-job.js";
import { applyDropJobs } from "../jobs/apply-drop-jobs.js";
import { applyRecordEnds } from "../jobs/apply-record-ends.js";
import { applyRecordStarts } from "../jobs/apply-record-starts.js";
import { applySubmitJob } from "../jobs/apply-submit-job.js";
import { applyRecordMove } from "../pools/apply-record-move.js";
import { applyRecordTarget } from "../targets/apply-record-target.js";
import { applyRemoveTarget } from "../targets/apply-remove-target.js";
import { applyRecordUpkeep } from "../upkeep/apply-record-upkeep.js";
import { applyStartUpkeep } from "../upkeep/apply-start-upkeep.js";
import { applyChange } from "./apply-change.js";
import { applyDispatch } from "./apply-dispatch.js";
import { applyGrants } from "./apply-grants.js";
import { applyOutcome } from "./apply-outcome.js";
import { applyStartWave } from "./apply-start-wave.js";
import { applyStepWave } from "./apply-step-wave.js";
import { CommandKind } from "./command-kind.js";
import type { CommandResults } from "./command-results.js";
import type { ControlCommand } from "./control-command.js";
import type { ControlState } from "./control-state.js";

const handlers = {
    [CommandKind.ChangeTables]: applyChange,
    [CommandKind.RecordDispatch]: applyDispatch,
    [CommandKind.RecordOutcome]: applyOutcome,
    [CommandKind.SetGrants]: applyGrants,
    [CommandKind.StartWave]: applyStartWave,
    [CommandKind.StepWave]: applyStepWave,
    [CommandKind.SetConfiguration]: applyConfiguration,
    [CommandKind.SubmitJob]: applySubmitJob,
    [CommandKind.CancelJob]: applyCancelJob,
    [CommandKind.RecordStarts]: applyRecordStarts,
    [CommandKind.RecordEnds]: applyRecordEnds,
    [CommandKind.RecordTarget]: applyRecordTarget,
    [CommandKind.RemoveTarget]: applyRemoveTarget,
    [CommandKind.StartUpkeep]: applyStartUpkeep,
    [CommandKind.RecordUpkeep]: applyRecordUpkeep,
    [CommandKind.RecordMove]: applyRecordMove,
    [CommandKind.DropJobs]: applyDropJobs,
    [CommandKind.ConfirmLeadership]: () => true,
};

/**
 * Applies one committed command. Deterministic: every replica reaches the same state.
 * @param state - the replicated state, changed in place
 * @param command - the command
 * @returns the result for the proposer
 */
export function applyCommand<Command extends ControlCommand>(
    state: ControlState,
    command: Command,
): CommandResults[Command["kind"]] {
    const handler = handlers[command.kind] as unknown as (
        state: ControlState,
        command: Command,
    ) => CommandResults[Command["kind"]];
    return handler(state, command);
}
