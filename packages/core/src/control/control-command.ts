import type { ChangeCommand } from "./change-command.js";
import type { DispatchCommand } from "./dispatch-command.js";
import type { GrantsCommand } from "./grants-command.js";
import type { OutcomeCommand } from "./outcome-command.js";
import type { StartWaveCommand } from "./start-wave-command.js";
import type { StepWaveCommand } from "./step-wave-command.js";

/** A command of the replicated log. */
export type ControlCommand =
    | ChangeCommand
    | DispatchCommand
    | OutcomeCommand
    | GrantsCommand
    | StartWaveCommand
    | StepWaveCommand;
