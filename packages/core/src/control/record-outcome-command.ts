import type { CommandKind } from "./command-kind.js";
import type { DispatchState } from "./dispatch-state.js";
import type { RecordedResponse } from "./recorded-response.js";

/** Records how a claimed request ended. */
export interface RecordOutcomeCommand {
    readonly kind: CommandKind.RecordOutcome;
    readonly dispatchId: string;
    /** Id of the attempt that holds the claim. */
    readonly attempt: string;
    readonly state: DispatchState.Completed | DispatchState.NotRun;
    /** Response of the target; `undefined` when the request did not run. */
    readonly answer?: RecordedResponse | undefined;
}
