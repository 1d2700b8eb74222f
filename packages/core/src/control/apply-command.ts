import { applyConfiguration } from "../configuration/apply-configuration.js";
import { applyCancelJob } from "../jobs/apply-cancel-job.js";
import { applyDropJobs } from "../jobs/apply-drop-jobs.js";
import { applyRecordEnds } from "../jobs/apply-record-ends.js";
import { applyRecordStarts } from "../jobs/apply-record-starts.js";
import { applySubmitJob } from "../jobs/apply-submit-job.js";
import { applyRecordMove } from "../pools/apply-record-move.js";
import { applyRecordTarget } from "../targets/apply-record-target.js";
import { applyRemoveTarget } from "../targets/apply-remove-target.js";
import { applyRecordMaintenance } from "../vm-maintenance/apply-record-maintenance.js";
import { applyStartMaintenance } from "../vm-maintenance/apply-start-maintenance.js";
import { applyChangeTables } from "./apply-change-tables.js";
import { applyRecordDispatch } from "./apply-record-dispatch.js";
import { applyRecordOutcome } from "./apply-record-outcome.js";
import { applySetGrants } from "./apply-set-grants.js";
import { applyStartWave } from "./apply-start-wave.js";
import { applyStepWave } from "./apply-step-wave.js";
import { CommandKind } from "./command-kind.js";
import type { CommandResults } from "./command-results.js";
import type { ControlCommand } from "./control-command.js";
import type { ControlState } from "./control-state.js";

const handlers = {
    [CommandKind.ChangeTables]: applyChangeTables,
    [CommandKind.RecordDispatch]: applyRecordDispatch,
    [CommandKind.RecordOutcome]: applyRecordOutcome,
    [CommandKind.SetGrants]: applySetGrants,
    [CommandKind.StartWave]: applyStartWave,
    [CommandKind.StepWave]: applyStepWave,
    [CommandKind.SetConfiguration]: applyConfiguration,
    [CommandKind.SubmitJob]: applySubmitJob,
    [CommandKind.CancelJob]: applyCancelJob,
    [CommandKind.RecordStarts]: applyRecordStarts,
    [CommandKind.RecordEnds]: applyRecordEnds,
    [CommandKind.RecordTarget]: applyRecordTarget,
    [CommandKind.RemoveTarget]: applyRemoveTarget,
    [CommandKind.StartMaintenance]: applyStartMaintenance,
    [CommandKind.RecordMaintenance]: applyRecordMaintenance,
    [CommandKind.RecordMove]: applyRecordMove,
    [CommandKind.DropJobs]: applyDropJobs,
    [CommandKind.ConfirmLeadership]: () => true,
};

/**
 * Applies one committed command. Must be deterministic, so that every replica reaches the same state.
 * @param state - the replicated state, changed in place
 * @param command - the committed command
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
