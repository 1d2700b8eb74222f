import type { CommandKind } from "./command-kind.js";
import type { DispatchState } from "./dispatch-state.js";
import type { RecordedResponse } from "./recorded-response.js";

/** Records how a claimed request ended. */
export interface RecordOutcomeCommand {
    readonly kind: CommandKind.RecordOutcome;
    readonly dispatchId: string;
    readonly attempt: string;
    readonly state: DispatchState.Completed | DispatchState.NotRun;
    readonly answer?: RecordedResponse | undefined;
}
