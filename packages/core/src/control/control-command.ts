import type { CancelJobCommand } from "./cancel-job-command.js";
import type { ChangeCommand } from "./change-command.js";
import type { ConfirmLeadershipCommand } from "./confirm-leadership-command.js";
import type { DispatchCommand } from "./dispatch-command.js";
import type { DropJobsCommand } from "./drop-jobs-command.js";
import type { GrantsCommand } from "./grants-command.js";
import type { OutcomeCommand } from "./outcome-command.js";
import type { RecordEndsCommand } from "./record-ends-command.js";
import type { RecordMoveCommand } from "./record-move-command.js";
import type { RecordStartsCommand } from "./record-starts-command.js";
import type { RecordTargetCommand } from "./record-target-command.js";
import type { RecordUpkeepCommand } from "./record-upkeep-command.js";
import type { RemoveTargetCommand } from "./remove-target-command.js";
import type { SetConfigurationCommand } from "./set-configuration-command.js";
import type { StartUpkeepCommand } from "./start-upkeep-command.js";
import type { StartWaveCommand } from "./start-wave-command.js";
import type { StepWaveCommand } from "./step-wave-command.js";
import type { SubmitJobCommand } from "./submit-job-command.js";

/** A command of the replicated log. */
export type ControlCommand =
    | ChangeCommand
    | DispatchCommand
    | OutcomeCommand
    | GrantsCommand
    | StartWaveCommand
    | StepWaveCommand
    | SetConfigurationCommand
    | SubmitJobCommand
    | CancelJobCommand
    | RecordStartsCommand
    | RecordEndsCommand
    | RecordTargetCommand
    | RemoveTargetCommand
    | StartUpkeepCommand
    | RecordUpkeepCommand
    | RecordMoveCommand
    | DropJobsCommand
    | ConfirmLeadershipCommand;
