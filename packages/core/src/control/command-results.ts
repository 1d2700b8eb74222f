import type { ConfigurationOutcome } from "../configuration/configuration-outcome.js";
import type { TaskEnd } from "../jobs/task-end.js";
import type { TaskStart } from "../jobs/task-start.js";
import type { WaveTransition } from "../reboot-waves/wave-transition.js";
import type { ChangeResult } from "./change-result.js";
import type { ClaimResult } from "./claim-result.js";
import type { CommandKind } from "./command-kind.js";
import type { StartWaveResult } from "./start-wave-result.js";
import type { SubmitJobOutcome } from "./submit-job-outcome.js";
import type { TeamGrant } from "./team-grant.js";

/** The result type of each kind of command. */
export interface CommandResults {
    [CommandKind.ChangeTables]: ChangeResult;
    [CommandKind.RecordDispatch]: ClaimResult;
    /** Whether the outcome was recorded. */
    [CommandKind.RecordOutcome]: boolean;
    /** The grants that were set; those above the limit are left out. */
    [CommandKind.SetGrants]: readonly TeamGrant[];
    [CommandKind.StartWave]: StartWaveResult;
    /** The steps that were committed. */
    [CommandKind.StepWave]: readonly WaveTransition[];
    [CommandKind.SetConfiguration]: ConfigurationOutcome;
    [CommandKind.SubmitJob]: SubmitJobOutcome;
    /** Whether the job is known. */
    [CommandKind.CancelJob]: boolean;
    /** The starts that were recorded. */
    [CommandKind.RecordStarts]: readonly TaskStart[];
    /** The ends that changed something. */
    [CommandKind.RecordEnds]: readonly TaskEnd[];
    /** Whether the report was of the newest life. */
    [CommandKind.RecordTarget]: boolean;
    /** Whether that life was known. */
    [CommandKind.RemoveTarget]: boolean;
    /** False when the number was known already. */
    [CommandKind.StartMaintenance]: boolean;
    /** Whether the wave is known. */
    [CommandKind.RecordMaintenance]: boolean;
    /** False when something may be running on the VM. */
    [CommandKind.RecordMove]: boolean;
    /** Jobs that were forgotten. */
    [CommandKind.DropJobs]: number;
    [CommandKind.ConfirmLeadership]: true;
}
