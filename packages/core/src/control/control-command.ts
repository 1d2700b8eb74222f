import type { CancelJobCommand } from "./cancel-job-command.js";
import type { ChangeTablesCommand } from "./change-tables-command.js";
import type { ConfirmLeadershipCommand } from "./confirm-leadership-command.js";
import type { DropJobsCommand } from "./drop-jobs-command.js";
import type { RecordDispatchCommand } from "./record-dispatch-command.js";
import type { RecordEndsCommand } from "./record-ends-command.js";
import type { RecordMaintenanceCommand } from "./record-maintenance-command.js";
import type { RecordMoveCommand } from "./record-move-command.js";
import type { RecordOutcomeCommand } from "./record-outcome-command.js";
import type { RecordStartsCommand } from "./record-starts-command.js";
import type { RecordTargetCommand } from "./record-target-command.js";
import type { RemoveTargetCommand } from "./remove-target-command.js";
import type { SetConfigurationCommand } from "./set-configuration-command.js";
import type { SetGrantsCommand } from "./set-grants-command.js";
import type { StartMaintenanceCommand } from "./start-maintenance-command.js";
import type { StartWaveCommand } from "./start-wave-command.js";
import type { StepWaveCommand } from "./step-wave-command.js";
import type { SubmitJobCommand } from "./submit-job-command.js";

/** A command of the replicated log. */
export type ControlCommand =
    | ChangeTablesCommand
    | RecordDispatchCommand
    | RecordOutcomeCommand
    | SetGrantsCommand
    | StartWaveCommand
    | StepWaveCommand
    | SetConfigurationCommand
    | SubmitJobCommand
    | CancelJobCommand
    | RecordStartsCommand
    | RecordEndsCommand
    | RecordTargetCommand
    | RemoveTargetCommand
    | StartMaintenanceCommand
    | RecordMaintenanceCommand
    | RecordMoveCommand
    | DropJobsCommand
    | ConfirmLeadershipCommand;
