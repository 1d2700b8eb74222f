import type { ConfigurationOutcome } from "../configuration/configuration-outcome.js";
import type { TaskEnd } from "../jobs/task-end.js";
import type { TaskStart } from "../jobs/task-start.js";
import type { WaveTransition } from "../reboot-waves/wave-transition.js";
import type { TargetRecording } from "../targets/target-recording.js";
import type { TargetRemoval } from "../targets/target-removal.js";
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
    /** The grants that were set, without those refused because of the limit. */
    [CommandKind.SetGrants]: readonly TeamGrant[];
    [CommandKind.StartWave]: StartWaveResult;
    /** The steps that were committed. */
    [CommandKind.StepWave]: readonly WaveTransition[];
    [CommandKind.SetConfiguration]: ConfigurationOutcome;
    [CommandKind.SubmitJob]: SubmitJobOutcome;
    /** False when the job does not exist. */
    [CommandKind.CancelJob]: boolean;
    /** The starts that were recorded. */
    [CommandKind.RecordStarts]: readonly TaskStart[];
    /** The ends that were recorded; ends of outdated runs are ignored. */
    [CommandKind.RecordEnds]: readonly TaskEnd[];
    [CommandKind.RecordTarget]: TargetRecording;
    [CommandKind.RemoveTarget]: TargetRemoval;
    /** False when a wave with this number exists already. */
    [CommandKind.StartMaintenance]: boolean;
    /** False when the maintenance wave does not exist. */
    [CommandKind.RecordMaintenance]: boolean;
    /** False when tasks may be running on the VM, which then stays in its pool. */
    [CommandKind.RecordMove]: boolean;
    /** Number of deleted jobs. */
    [CommandKind.DropJobs]: number;
    [CommandKind.ConfirmLeadership]: true;
}
