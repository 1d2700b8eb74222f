import type { WaveTransition } from "../maintenance/wave-transition.js";
import type { ChangeResult } from "./change-result.js";
import type { CommandKind } from "./command-kind.js";
import type { DispatchResult } from "./dispatch-result.js";
import type { StartWaveResult } from "./start-wave-result.js";
import type { TeamGrant } from "./team-grant.js";

/** The result type of each kind of command. */
export interface CommandResults {
    [CommandKind.ChangeTables]: ChangeResult;
    [CommandKind.RecordDispatch]: DispatchResult;
    /** Whether the outcome was recorded. */
    [CommandKind.RecordOutcome]: boolean;
    /** The grants that were set; those above the limit are left out. */
    [CommandKind.SetGrants]: readonly TeamGrant[];
    [CommandKind.StartWave]: StartWaveResult;
    /** The steps that were committed. */
    [CommandKind.StepWave]: readonly WaveTransition[];
}
